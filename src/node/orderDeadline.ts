import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { Rpc } from "../rpc/rpc";
import { Result } from "../common/fault";

/** A reading of the leader's monotonic clock. */
export interface LeaderClock {
  /** Identifies the process and its start; readings of different clocks cannot be compared. */
  clockId: string;
  /** Monotonic time of the leader, ms. */
  now: number;
}

/** Time after which the leader must not append an order to the log. */
export interface OrderDeadline {
  /** Id of the clock that `at` refers to; see `LeaderClock`. */
  clockId: string;
  /** Time on that clock, ms. */
  at: number;
}

/** A reading of the leader's clock, and the local monotonic time at which it arrived. */
interface ClockReading {
  address: string;
  clockId: string;
  leaderTime: number;
  localTime: number;
}

/**
 * Converts deadlines of orders to the leader's clock, so that an order that was delayed in a frozen process or a
 * partitioned connection is not carried out after its caller has stopped waiting. A reading of the leader's clock is
 * older than the time at which it arrives, so a deadline computed from it is early by the time of one message, and
 * never late.
 */
export class OrderDeadlines {
  private reading: ClockReading | undefined;

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
  ) {}

  /**
   * Converts a local monotonic time to a deadline on the clock of the leader at this address. If the leader's clock has
   * to be read first and the call fails, returns the fault of the call.
   */
  *at(address: string, localDeadline: number, timeoutMs: number): Task<Result<OrderDeadline>> {
    const known = this.reading;
    if (known?.address === address && this.env.monotonicMs() - known.localTime < Constants.leaderClockMaxAgeMs)
      return { ok: true, value: { clockId: known.clockId, at: known.leaderTime + (localDeadline - known.localTime) } };
    const read = yield* this.rpc.call(address, "control.op", { op: "clock" }, timeoutMs);
    if (!read.ok) return read;
    const { clockId, now: leaderTime } = read.value as LeaderClock;
    const localTime = this.env.monotonicMs();
    this.reading = { address, clockId, leaderTime, localTime };
    return { ok: true, value: { clockId, at: leaderTime + (localDeadline - localTime) } };
  }

  /** Discards the reading, because the clock of the leader is not the one that was read. */
  forget(): void {
    this.reading = undefined;
  }
}

export const OrderDeadline = {
  /** Detail of the fault "late" on which the caller must read the clock again. */
  clockMismatch: "the deadline was counted by another process's clock",
};
