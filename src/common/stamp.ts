import { Constants } from "./constants";

/** A timestamp; timestamps order all events of the system. */
export interface Stamp {
  /** Wall clock, whole ms. */
  readonly time: number;
  /** Id of the node that assigned it. */
  readonly node: string;
  /** Sequence number of the timestamps of one node within one ms. */
  readonly seq: number;
}

/** Bounds on clocks and delays (Birman et al. 2026, section 2.9), ms. */
export interface Bounds {
  /** δ, the maximum clock skew. */
  readonly deltaMs: number;
  /** ε, the maximum time of a relay from the first node to a replica. */
  readonly epsilonMs: number;
  /** Δ, the maximum time until a put is complete. */
  readonly bigDeltaMs: number;
}

const SEPARATOR = "~";

/**
 * Creates, compares and converts timestamps, and applies the rules of Birman et al. 2026, section 2.9.
 *
 * @example
 * const next = Stamp.maker("n1");
 * const tau = next(env.wallClockMs());
 * Stamp.admits(tau.time, env.wallClockMs(), Stamp.defaults) // true
 */
export const Stamp = {
  defaults: { deltaMs: Constants.deltaMs, epsilonMs: Constants.epsilonMs, bigDeltaMs: Constants.bigDeltaMs } as Bounds,
  /** Returns a function that assigns the timestamps of one node; each is greater than the previous one. */
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
  /** Compares by time, node and sequence number. @example Stamp.compare(older, newer) < 0 */
  compare(left: Stamp, right: Stamp): number {
    if (left.time !== right.time) return left.time - right.time;
    if (left.node !== right.node) return left.node < right.node ? -1 : 1;
    return left.seq - right.seq;
  },
  /** Rule 1: timestamps τ < now − δ − ε and τ > now + δ are rejected. */
  admits: (time: number, now: number, bounds: Bounds): boolean =>
    !(time < now - bounds.deltaMs - bounds.epsilonMs) && !(time > now + bounds.deltaMs),
  /** Rule 2: how far in the past the timestamp of a read must be, ms. @example Stamp.delay(Stamp.defaults) // 350 */
  delay: (bounds: Bounds): number => bounds.bigDeltaMs + 2 * bounds.deltaMs + bounds.epsilonMs,
  /** Converts a timestamp to text without loss. @example Stamp.text({ time: 5, node: "n1", seq: 0 }) // "5~n1~0" */
  text: (stamp: Stamp): string => [stamp.time, stamp.node, stamp.seq].join(SEPARATOR),
  /** Converts text to a timestamp; returns undefined if the text is malformed. */
  parse(text: string): Stamp | undefined {
    const [time, node, seq] = text.split(SEPARATOR);
    if (!time || !node || !seq || !Number.isFinite(+time) || !Number.isInteger(+seq)) return undefined;
    return { time: +time, node, seq: +seq };
  },
};
