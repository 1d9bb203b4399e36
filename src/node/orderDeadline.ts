import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { Rpc } from "../rpc/rpc";
import { Result } from "../common/fault";

/** A reading of the control lead's monotonic clock, and which process's clock it is. */
export type LeaderClock = { clockId: string; now: number };
/** The instant, by the lead's own monotonic clock, after which it may no longer append an order. */
export type OrderDeadline = { clockId: string; at: number };
type Reading = { address: string; clockId: string; lead: number; own: number };

/**
 * Deadlines of orders in the lead's time, so that an order held up in a frozen process or a cut connection is not
 * carried out after its caller has stopped waiting. A reading of the lead's clock is older than the instant at which
 * it arrives here, so that a deadline computed from it comes early by the time of one message, and never late.
 *
 * @example
 * const deadlines = new OrderDeadlines(env, rpc);
 * const deadline = yield* deadlines.at("10.0.0.4:7001", env.mono() + 900, 500);
 */
export class OrderDeadlines {
  private reading: Reading | undefined;
  constructor(
    private readonly env: Env,
    private readonly rpc: Rpc,
  ) {}
  /** The caller's deadline by the clock of the lead at this address. @example yield* deadlines.at(address, until, 500) */
  *at(address: string, until: number, withinMs: number): Task<Result<OrderDeadline>> {
    const kept = this.reading;
    if (kept?.address === address && this.env.mono() - kept.own < Constants.leaderClockKeptMs)
      return { ok: true, value: { clockId: kept.clockId, at: kept.lead + (until - kept.own) } };
    const read = yield* this.rpc.call<LeaderClock>(address, "control.op", { op: "clock" }, withinMs);
    if (!read.ok) return read;
    const { clockId, now } = read.value;
    const own = this.env.mono();
    this.reading = { address, clockId, lead: now, own };
    return { ok: true, value: { clockId, at: now + (until - own) } };
  }
  /** The lead's process is another than the one whose clock was read. @example deadlines.forget(); */
  forget(): void {
    this.reading = undefined;
  }
}
export const OrderDeadline = {
  /** The detail of the fault "late" that asks for another reading of the clock. */
  otherClock: "the deadline was counted by another process's clock",
};
