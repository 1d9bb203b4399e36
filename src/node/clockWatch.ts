import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** Callbacks of the clock watch. */
export interface ClockWatchListener {
  /** Called at each check. @param now monotonic time, ms */
  checking(now: number): void;
  /** Returns the largest allowed step of the wall clock against the monotonic clock between two checks, ms. */
  maxWallStepMs(): number;
  /** Called when the wall clock has moved by more than that. */
  wallClockStepped(): void;
  /** Called when the process did not run for `forMs` milliseconds. */
  frozen(forMs: number): void;
  /** Called when the machine was suspended; its monotonic clock was stopped, so only the wall clock shows it. */
  suspended(): void;
}

/** Compares the clocks periodically, to detect that the process was frozen or that the wall clock was set. */
export class ClockWatch {
  /** Time of the last check, monotonic ms. */
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

  /** Checks the clocks periodically; never ends. */
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
