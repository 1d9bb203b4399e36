import type { Readiness } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import type { AgentLink } from "./agentLink";
import { IngressCounters } from "./ingressCounters";

/**
 * Whether the ingress may take requests: it acts on a fresh snapshot and a confirmed configuration only. What is stamped,
 * as batch jobs are, also needs a clock within its bounds; a request that is only forwarded has no timestamp of ours.
 *
 * @example
 * const readiness = new IngressReadiness(env, link, counters);
 * const reason = readiness.unreadyReason(); // undefined while it is ready
 */
export class IngressReadiness implements Readiness {
  stopping = false;
  /** Set once the warm-up requests are done. */
  warmedUp = false;
  constructor(
    private readonly env: Environment,
    private readonly link: AgentLink,
    private readonly counters: IngressCounters,
  ) {}

  /** Why the ingress tells that it is unready. */
  unreadyReason(): string | undefined {
    return this.stopping ? "stopping" : (this.configurationReason() ?? this.clockReason());
  }

  /** Why a request that is only forwarded is rejected; while the ingress stops, requests that still arrive are served. */
  rejectReason(): string | undefined {
    const reason = this.configurationReason();
    if (reason !== undefined) return reason;
    return this.link.snapshot().control?.manifest.version ? undefined : "no manifest in force yet";
  }

  /** Why nothing may be stamped now. */
  clockReason(): string | undefined {
    return this.link.snapshot().clockTrusted ? undefined : "clock not vouched for";
  }

  private configurationReason(): string | undefined {
    const snapshot = this.link.snapshot();
    if (!snapshot.control) return "no manifest yet";
    if (!this.warmedUp) return "rehearsing";
    if (!this.link.isConfirmed()) return "configuration not confirmed by the control lead";
    if (this.link.isStale() || !snapshot.isCurrent) return "no fresh frame";
    return undefined;
  }

  /** Watches for freezes of the process (by jumps of the monotonic clock) and for stale snapshots; never returns. */
  *watchLoop(): Task<void> {
    let lastCheckAt = this.env.mono();
    let wasStale = false;
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.clockWatchMs);
      const now = this.env.mono();
      if (now - lastCheckAt > Constants.clockJumpMs + Constants.clockWatchMs) {
        this.env.log(1005, { forMs: Math.round(now - lastCheckAt) });
        this.link.processResumed();
      }
      const isStale = this.link.isStale();
      if (isStale && !wasStale) {
        this.env.log(1602);
        this.counters.staleSnapshots += 1;
      }
      wasStale = isStale;
      lastCheckAt = now;
    }
  }
}
