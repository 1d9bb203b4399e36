import { Constants } from "./constants";

/** A timestamp that orders all events of the system. */
export interface Stamp {
  /** Wall clock, whole ms. */
  readonly time: number;
  /** Id of the node that gave it. */
  readonly node: string;
  /** Counts the timestamps of one node within one ms. */
  readonly seq: number;
}

/** Bounds on clocks and delays (Birman et al. 2026, section 2.9), ms. */
export interface Bounds {
  /** δ, the greatest clock skew. */
  readonly deltaMs: number;
  /** ε, the longest relay from the first node to a replica. */
  readonly epsilonMs: number;
  /** Δ, the longest time until a put is complete. */
  readonly bigDeltaMs: number;
}

const SEPARATOR = "~";

/**
 * Timestamps, and the paper's rules on them (section 2.9).
 *
 * @example
 * const next = Stamp.maker("n1");
 * const tau = next(env.wall());
 * Stamp.admits(tau.time, env.wall(), Stamp.defaults) // true
 */
export const Stamp = {
  defaults: { deltaMs: Constants.deltaMs, epsilonMs: Constants.epsilonMs, bigDeltaMs: Constants.bigDeltaMs } as Bounds,
  /** Makes the timestamps of one node; each is greater than the one before. @example Stamp.maker("n1")(1000).seq // 0 */
  maker(node: string): (now: number) => Stamp {
    let lastTime = 0;
    let lastSeq = 0;
    return (wallMs) => {
      const now = Math.floor(wallMs);
      if (now > lastTime) {
        lastTime = now;
        lastSeq = 0;
      } else lastSeq += 1;
      return { time: lastTime, node, seq: lastSeq };
    };
  },
  /** Order by time, node and count. @example Stamp.compare(older, newer) < 0 */
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
  /** As text, which loses nothing. @example Stamp.text({ time: 5, node: "n1", seq: 0 }) // "5~n1~0" */
  text: (stamp: Stamp): string => [stamp.time, stamp.node, stamp.seq].join(SEPARATOR),
  /** The timestamp that a text shows; undefined if it shows none. @example Stamp.parse("5~n1~0") */
  parse(text: string): Stamp | undefined {
    const [time, node, seq] = text.split(SEPARATOR);
    if (!time || !node || !seq || !Number.isFinite(+time) || !Number.isInteger(+seq)) return undefined;
    return { time: +time, node, seq: +seq };
  },
};
