import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ReadIndexConfirmation } from "./readIndexConfirmation";

/** The pause between requests varies by 20% in both directions, so that processes do not send them in lockstep. */
const REQUEST_JITTER_LOW = 0.8;
const REQUEST_JITTER_SPREAD = 0.4;

/**
 * Tells whether the control leader has confirmed the configuration within a bounded time. Work that no caller waits for
 * must not start by an outdated configuration even where this process and all its peers are cut off from the control
 * group together, because then none of them learns of a newer one. Read indexes are requested only while `isRecent` is
 * being called.
 *
 * @example
 * const recent = new RecentConfirmation(env, confirmation);
 * recent.start();
 * if (recent.isRecent()) startItems();
 */
export class RecentConfirmation {
  private readonly refreshDue: Chan<true> = Csp.sliding(1);
  /** Time at which the configuration was first found not to be recent, monotonic ms. */
  private waitingSince: number | undefined;
  /** Time of the last call that found it not to be recent, monotonic ms. */
  private waitedAt = -Infinity;
  private isWaitLogged = false;

  constructor(
    private readonly env: Environment,
    private readonly confirmation: ReadIndexConfirmation,
  ) {}

  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "recent confirmation", () => this.refreshLoop());
  }

  /** Whether the configuration was confirmed recently. If the confirmation is getting old, a newer one is requested. */
  isRecent(): boolean {
    const ageMs = this.ageMs();
    if (ageMs > Constants.readIndexRefreshMs) Csp.offer(this.refreshDue, true);
    const isRecent = ageMs <= Constants.recentConfirmationMs;
    if (isRecent) this.waitEnded();
    else this.waiting(ageMs);
    return isRecent;
  }

  /** Time since the configuration was confirmed, ms; Infinity while this process has none as new as the read index. */
  ageMs(): number {
    return this.env.monotonicMs() - this.confirmation.confirmedAt();
  }

  private waiting(ageMs: number): void {
    const now = this.env.monotonicMs();
    // After a pause in the calls nothing has been waiting.
    if (now - this.waitedAt > Constants.confirmationWaitLogMs) this.waitEnded();
    this.waitedAt = now;
    this.waitingSince ??= now;
    const waitedMs = now - this.waitingSince;
    if (this.isWaitLogged || waitedMs < Constants.confirmationWaitLogMs) return;
    this.isWaitLogged = true;
    this.env.log(1605, { waitedMs: Math.round(waitedMs), ...(ageMs < Infinity ? { ageMs: Math.round(ageMs) } : {}) });
  }

  private waitEnded(): void {
    this.waitingSince = undefined;
    this.isWaitLogged = false;
  }

  private *refreshLoop(): Task<void> {
    for (let attempt = 0; ; attempt += 1) {
      yield* Csp.take(this.refreshDue);
      if (this.ageMs() <= Constants.readIndexRefreshMs) continue;
      this.confirmation.requestReadIndex(attempt, Constants.readIndexRefreshMaxAgeMs);
      const jitter = REQUEST_JITTER_LOW + REQUEST_JITTER_SPREAD * this.env.random();
      yield* EnvironmentTools.sleep(this.env, Constants.readIndexRetryMs * jitter);
    }
  }
}
