import { Constants } from "./constants";

/** The system's own stamp: time in whole ms (so that its text loses nothing), node, and a count that parts equal times on one node. */
export type Stamp = { time: number; node: string; seq: number };
export type Bounds = { deltaMs: number; epsilonMs: number; bigDeltaMs: number };

/**
 * Stamps and the paper's rules on them (section 2.9).
 *
 * @example
 * const next = Stamp.maker("n1");
 * const tau = next(env.wall());
 * Stamp.admits(tau.time, env.wall(), Stamp.defaults) // true
 */
export const Stamp = {
  defaults: { deltaMs: Constants.deltaMs, epsilonMs: Constants.epsilonMs, bigDeltaMs: Constants.bigDeltaMs } as Bounds,
  /** Times only grow on one node. @example Stamp.maker("n1")(1000).seq // 0 */
  maker(node: string): (now: number) => Stamp {
    let lastTime = 0;
    let lastSeq = 0;
    return (exactly) => {
      const now = Math.floor(exactly);
      if (now > lastTime) {
        lastTime = now;
        lastSeq = 0;
      } else lastSeq += 1;
      return { time: lastTime, node, seq: lastSeq };
    };
  },
  /** @example Stamp.compare(older, newer) < 0 */
  compare(left: Stamp, right: Stamp): number {
    if (left.time !== right.time) return left.time - right.time;
    if (left.node !== right.node) return left.node < right.node ? -1 : 1;
    return left.seq - right.seq;
  },
  /** Rule 1: refuse τ < now − δ − ε and τ > now + δ. @example Stamp.admits(900, 1000, bounds) */
  admits: (time: number, now: number, bounds: Bounds): boolean =>
    !(time < now - bounds.deltaMs - bounds.epsilonMs) && !(time > now + bounds.deltaMs),
  /** Rule 2: how far into the past a read must index. @example Stamp.delay(Stamp.defaults) // 350 */
  delay: (bounds: Bounds): number => bounds.bigDeltaMs + 2 * bounds.deltaMs + bounds.epsilonMs,
  /** @example Stamp.text({ time: 5, node: "n1", seq: 0 }) // "5~n1~0" */
  text: (stamp: Stamp): string => `${stamp.time}~${stamp.node}~${stamp.seq}`,
  /** Undefined if it is no stamp of ours. @example Stamp.parse("5~n1~0") */
  parse(text: string): Stamp | undefined {
    const [time, node, seq] = text.split("~");
    if (!time || !node || !seq || !Number.isFinite(+time) || !Number.isInteger(+seq)) return undefined;
    return { time: +time, node, seq: +seq };
  },
};
