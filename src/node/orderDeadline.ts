import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { Rpc } from "../rpc/rpc";
import { Result } from "../common/fault";

/** A reading of the leader's monotonic clock. */
export interface LeaderClock {
  /** Names the process whose clock it is, and its start: readings of different clocks cannot be compared. */
  clockId: string;
  /** ms. */
  now: number;
}

/** The time after which the leader may no longer append an order to the log. */
export interface OrderDeadline {
  /** Whose clock the time is of; see `LeaderClock`. */
  clockId: string;
  /** ms on that clock. */
  at: number;
}

/** The leader's clock and our own at the same moment, or slightly later by our own. */
interface ClockReading {
  address: string;
  clockId: string;
  leaderTime: number;
  localTime: number;
}

/**
 * Deadlines of orders in the leader's time, so that an order that was delayed in a frozen process or a partitioned
 * connection is not carried out after its caller has stopped waiting. A reading of the leader's clock is older than the
 * moment at which it arrives, so a deadline computed from it is early by the time of one message, and never late.
 *
 * @example
 * const deadlines = new OrderDeadlines(env, rpc);
 * const deadline = yield* deadlines.at("10.0.0.4:7001", env.mono() + 900, 500);
 */
export class OrderDeadlines {
  private reading: ClockReading | undefined;

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
  ) {}

  /**
   * A time on our monotonic clock as a deadline by the clock of the leader at this address. Gives the faults of the call
   * where the clock has to be read first and cannot be.
   * @example yield* deadlines.at(address, until, 500)
   */
  *at(address: string, until: number, timeoutMs: number): Task<Result<OrderDeadline>> {
    const known = this.reading;
    if (known?.address === address && this.env.monotonicMs() - known.localTime < Constants.leaderClockMaxAgeMs)
      return { ok: true, value: { clockId: known.clockId, at: known.leaderTime + (until - known.localTime) } };
    const read = yield* this.rpc.call(address, "control.op", { op: "clock" }, timeoutMs);
    if (!read.ok) return read;
    const { clockId, now: leaderTime } = read.value as LeaderClock;
    const localTime = this.env.monotonicMs();
    this.reading = { address, clockId, leaderTime, localTime };
    return { ok: true, value: { clockId, at: leaderTime + (until - localTime) } };
  }

  /** Drops the reading: the leader is another process than the one whose clock was read. @example deadlines.forget(); */
  forget(): void {
    this.reading = undefined;
  }
}

export const OrderDeadline = {
  /** Detail of the fault "late" that asks the caller for a new reading of the clock. */
  clockMismatch: "the deadline was counted by another process's clock",
};
