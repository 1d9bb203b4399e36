import type { Readiness } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import type { AgentLink } from "./agentLink";
import { IngressCounters } from "./ingressCounters";

/**
 * Decides whether the ingress may accept requests: it needs a current snapshot and a confirmed configuration. A request
 * that gets a timestamp, such as a batch job, also needs a trusted clock; a request that is only forwarded gets none.
 */
export class IngressReadiness implements Readiness {
  stopping = false;
  /** Whether the warm-up requests have ended. */
  warmedUp = false;
  constructor(
    private readonly env: Environment,
    private readonly link: AgentLink,
    private readonly counters: IngressCounters,
  ) {}

  /** Returns why the ingress reports that it is unready; undefined while it is ready. */
  unreadyReason(): string | undefined {
    return this.stopping ? "stopping" : (this.configurationReason() ?? this.clockReason());
  }

  /** Returns why a request that is only forwarded is rejected; a stopping ingress still serves such requests. */
  rejectReason(): string | undefined {
    const reason = this.configurationReason();
    if (reason !== undefined) return reason;
    return this.link.snapshot().control?.manifest.version ? undefined : "no manifest in force yet";
  }

  /** Returns why no timestamps may be assigned now; undefined while they may. */
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

  /** Detects freezes of the process, by jumps of the monotonic clock, and stale snapshots; never returns. */
  *watchLoop(): Task<void> {
    let lastCheckAt = this.env.monotonicMs();
    let wasStale = false;
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.clockCheckPeriodMs);
      const now = this.env.monotonicMs();
      if (now - lastCheckAt > Constants.clockJumpMs + Constants.clockCheckPeriodMs) {
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
