import type { RouteKind } from "./configuration";

/** Condition for the requests that a policy rule applies to; an absent field matches all. */
export interface PolicyMatch {
  /** Name of a route. */
  binding?: string;
  kind?: RouteKind;
  caller?: string;
}

/** Restricts the zones in which requests may be placed. */
export interface ZonePreference {
  /** Zones that may be used; absent: all. */
  districts?: string[];
  /** Zones that must not be used. */
  avoid?: string[];
}

/** A rule of the policies document. The first rule that matches a request applies. */
export interface PolicyRule {
  match: PolicyMatch;
  /** Priority; the lower number goes first. */
  order?: number;
  land?: ZonePreference;
  /** Maximum number of concurrent requests at one ingress. */
  limit?: number;
}
