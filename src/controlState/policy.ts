import type { RouteKind } from "./configuration";

/** Which requests a policy rule applies to; an absent field matches all. */
export interface PolicyMatch {
  /** Name of a route. */
  binding?: string;
  kind?: RouteKind;
  caller?: string;
}

/** Where requests may be placed, by zone. */
export interface ZonePreference {
  /** Only these zones. */
  districts?: string[];
  /** None of these zones. */
  avoid?: string[];
}

/** One rule of the policies document; the first rule that matches a request applies. */
export interface PolicyRule {
  match: PolicyMatch;
  /** Priority; the lower number goes first. */
  order?: number;
  land?: ZonePreference;
  /** Most concurrent requests at one ingress. */
  limit?: number;
}
