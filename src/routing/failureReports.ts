import { Constants } from "../common/constants";
import { FailureReport, failureReportPrefix } from "../node/failureReport";
import { Environment } from "../runtime/env";

/**
 * Reports failures at endpoints to all other senders. Where many senders share a pool, each sees too few requests to
 * recognize an unhealthy endpoint before many are lost there.
 *
 * @example
 * const reports = new FailureReports(env, "ingress-1", (key, value, leaseMs) => link.publish(key, value, leaseMs));
 * reports.add("replica/r1/i1", 0);
 */
export class FailureReports {
  /** Monotonic ms of own failures within the window, by endpoint key. */
  private readonly failedAt = new Map<string, number[]>();
  private publishedAt = -Infinity;

  /** `publish` publishes a gossip fact that expires after leaseMs. */
  constructor(
    private readonly env: Environment,
    private readonly selfId: string,
    private readonly publish: (key: string, value: FailureReport, leaseMs: number) => void,
  ) {}

  /**
   * Counts a failure, and reports it unless the others know enough of this endpoint already.
   * @param known failures that are reported of it by all senders together
   */
  add(endpointKey: string, known: number): void {
    const now = this.env.mono();
    this.failedAt.set(endpointKey, [...(this.failedAt.get(endpointKey) ?? []), now]);
    if (known >= 2 * Constants.sharedFailures || now - this.publishedAt < Constants.failureReportPeriodMs) return;
    this.publishedAt = now;
    this.publish(failureReportPrefix + this.selfId, this.report(now), Constants.failureWindowMs);
  }

  private report(now: number): FailureReport {
    const failures: Record<string, number> = {};
    for (const [key, times] of this.failedAt) {
      const recent = times.filter((time) => now - time < Constants.failureWindowMs);
      if (recent.length === 0) this.failedAt.delete(key);
      else {
        this.failedAt.set(key, recent);
        failures[key] = recent.length;
      }
    }
    return { failures };
  }
}
