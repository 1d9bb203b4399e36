import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** Called by the clock watch. */
export interface ClockWatchListener {
  /** The clocks are being checked, at this monotonic time. */
  checking(now: number): void;
  /** The most that the wall clock may move against the monotonic clock between two checks, ms. */
  maxWallStepMs(): number;
  /** The wall clock has moved by more. */
  wallClockStepped(): void;
  /** The process didn't run for so long. */
  frozen(forMs: number): void;
  /** The machine was suspended, with its monotonic clock stopped: only the wall clock shows it. */
  suspended(): void;
}

/** Compares the clocks now and then, to notice that the process was frozen or that the wall clock was set. */
export class ClockWatch {
  /** When the clocks were checked last, monotonic ms. */
  private checkedAt: number;

  constructor(
    private readonly env: Environment,
    private readonly listener: ClockWatchListener,
  ) {
    this.checkedAt = env.monotonicMs();
  }

  /** Whether the next check is so late that the process must have been frozen. */
  isLate(now = this.env.monotonicMs()): boolean {
    return now - this.checkedAt > Constants.clockJumpMs + Constants.clockCheckPeriodMs;
  }

  /** Checks for ever. */
  *run(): Task<void> {
    let lastOffset = this.env.wallClockMs() - this.checkedAt;
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.clockCheckPeriodMs);
      const now = this.env.monotonicMs();
      this.listener.checking(now);
      const offset = this.env.wallClockMs() - now;
      const stepMs = offset - lastOffset;
      lastOffset = offset;
      if (Math.abs(stepMs) > this.listener.maxWallStepMs()) this.listener.wallClockStepped();
      if (this.isLate(now)) this.listener.frozen(now - this.checkedAt);
      else if (stepMs > Constants.clockJumpMs) this.listener.suspended();
      this.checkedAt = this.env.monotonicMs();
    }
  }
}
