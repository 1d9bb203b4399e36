import type { AdmittedRequest, RequestAdmission } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import type { Configuration, Limits, Route } from "../controlState/configuration";
import type { ControlSnapshot } from "../controlState/controlSnapshot";
import type { PolicyRule } from "../controlState/policy";
import { firstMatchingRule } from "../routing/policyRules";
import { Task } from "../runtime/csp";
import { HttpLimits } from "../runtime/env";
import { defaultHttpLimits } from "../runtime/httpServer";
import type { Cause } from "../shard/shardTypes";
import type { AgentLink } from "./agentLink";
import { IngressCounters } from "./ingressCounters";
import { IngressReadiness } from "./ingressReadiness";
import { LedgerNotes } from "./ledgerNotes";

/** Priority of a request if no policy sets one. */
const DEFAULT_PRIORITY = 100;
/** The maximum number of concurrent requests of a route, for routes whose requests involve a shard. */
const MAX_LIVE_REQUESTS_PER_ROUTE = Constants.admissionQueueMax * 4;

function findRoute(doc: Configuration, name: string): Route | undefined {
  return Object.prototype.hasOwnProperty.call(doc.bindings, name) ? doc.bindings[name] : undefined;
}

/** Returns the caller's deadline, limited by the route's; without a valid one the route's, in ms. */
function requestDeadlineMs(route: Route, headers: Record<string, string>): number {
  const requested = Number(headers["x-deadline-ms"]);
  return Number.isFinite(requested) && requested > 0 ? Math.min(requested, route.deadlineMs) : route.deadlineMs;
}

/**
 * Admits requests by route name: rejects those that readiness, policies or limits do not allow, and counts live requests.
 *
 * @example
 * const admitted = admission.admit("ask", exchange.headers);
 * if (admitted.ok) yield* admission.countLive("ask", () => serve(admitted.value));
 */
export class IngressAdmission implements RequestAdmission {
  /** The number of live requests by route name. */
  private readonly liveCounts = new Map<string, number>();
  /** The limits in force, derived from `configuredLimits`. */
  private limits: HttpLimits = defaultHttpLimits;
  private configuredLimits: Limits | undefined;
  constructor(
    private readonly link: AgentLink,
    private readonly readiness: IngressReadiness,
    private readonly notes: LedgerNotes,
    private readonly counters: IngressCounters,
  ) {}

  admit(routeName: string, headers: Record<string, string>): Result<AdmittedRequest> {
    const unreadyReason = this.readiness.unreadyReason();
    if (unreadyReason) return this.reject("accept", unreadyReason);
    const control = this.link.snapshot().control!;
    const route = findRoute(control.manifest.doc, routeName);
    if (!route) return Fault.fail("notFound", "accept", this.link.id, `no binding ${routeName}`);
    const caller = headers["x-caller"] ?? "";
    const subject = { route: routeName, kind: route.kind, caller };
    const rules = control.policies.doc;
    const priorityRule = firstMatchingRule(subject, rules, (rule) => rule.order !== undefined);
    const limitRule = firstMatchingRule(subject, rules, (rule) => rule.limit !== undefined);
    const cause = this.causeOf(control, priorityRule);
    const limit = Math.min(
      limitRule?.limit ?? Infinity,
      route.kind === "lookup" ? Infinity : MAX_LIVE_REQUESTS_PER_ROUTE,
    );
    if ((this.liveCounts.get(routeName) ?? 0) >= limit) return this.rejectOverLimit(routeName, cause, rules, limitRule);
    const order = priorityRule?.order ?? DEFAULT_PRIORITY;
    return Fault.ok({ name: routeName, route, caller, order, cause, deadlineMs: requestDeadlineMs(route, headers) });
  }

  *countLive<T>(routeName: string, task: () => Task<T>): Task<T> {
    this.liveCounts.set(routeName, (this.liveCounts.get(routeName) ?? 0) + 1);
    try {
      return yield* task();
    } finally {
      this.liveCounts.set(routeName, this.liveCounts.get(routeName)! - 1);
    }
  }

  bodyLimitBytes(): number {
    return this.link.snapshot().control?.manifest.doc.limits?.bodyBytes ?? Constants.bodyLimitBytes;
  }

  /** Returns the limits of callers' connections in force; the same object until the configured limits change. */
  httpLimits(): HttpLimits {
    const configured = this.link.snapshot().control?.manifest.doc.limits;
    if (configured !== this.configuredLimits) {
      this.configuredLimits = configured;
      this.limits = { ...defaultHttpLimits, ...configured };
    }
    return this.limits;
  }

  /** Returns a fault that guarantees that the request did not run, and counts it. */
  reject(step: string, detail: string): { ok: false; fault: Fault } {
    this.counters.rejections += 1;
    return Fault.busy(step, this.link.id, detail, Constants.retryAfterMs);
  }

  private rejectOverLimit(
    routeName: string,
    cause: Cause,
    rules: PolicyRule[],
    limitRule: PolicyRule | undefined,
  ): { ok: false; fault: Fault } {
    const note = limitRule ? `line ${rules.indexOf(limitRule) + 1} limits to ${limitRule.limit}` : "live buffer full";
    this.notes.add(`binding ${routeName}`, "refused as busy: limit reached", { ...cause, note });
    return this.reject("accept", "limit reached");
  }

  private causeOf({ manifest, policies }: ControlSnapshot, rule: PolicyRule | undefined): Cause {
    if (!rule) return { manifest: manifest.version };
    const policy = `line ${policies.doc.indexOf(rule) + 1} of version ${policies.version}`;
    return { manifest: manifest.version, policy };
  }
}
