import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";

/** How far our wall clock is ahead of the others', ms, and by how much that may be wrong. */
export interface ClockSkew {
  readonly offset: number;
  readonly error: number;
}

interface ClockSample extends ClockSkew {
  readonly memberId: string;
}

/** The skew is estimated from samples of so many other members at least. */
const FEWEST_MEMBERS = 2;

/**
 * Estimates the skew of our wall clock against the other members' from the round trips of pings (as in Cristian,
 * "Probabilistic clock synchronization", 1989), and decides whether our clock may be trusted.
 */
export class ClockSkewEstimator {
  /** Oldest first. */
  private samples: ClockSample[] = [];
  /** The clock has jumped: it isn't trusted until there are new samples. */
  private needsSamples = false;
  private wasTrusted = true;

  constructor(private readonly env: Environment) {}

  /**
   * A round trip to a member.
   * @param sentAt our clock as the ping was sent, ms
   * @param theirTime the other's clock in between, ms
   */
  addRoundTrip(memberId: string, sentAt: number, theirTime: number): void {
    const now = this.env.wallClockMs();
    const error = (now - sentAt) / 2;
    if (!(error >= 0 && error < Constants.epsilonMs)) return;
    this.samples.push({ memberId, offset: now - error - theirTime, error });
    if (this.samples.length > Constants.clockSamplesMax) this.samples.shift();
  }

  /** The median over the newest sample of each member; undefined with too few members. */
  estimate(): ClockSkew | undefined {
    const newest = [...new Map(this.samples.map((sample) => [sample.memberId, sample])).values()];
    if (newest.length < FEWEST_MEMBERS) return undefined;
    const sorted = newest.sort((left, right) => left.offset - right.offset);
    const middle = sorted[Math.floor(sorted.length / 2)];
    const other = sorted.length % 2 === 0 ? sorted[sorted.length / 2 - 1] : middle;
    return { offset: (middle.offset + other.offset) / 2, error: Math.max(middle.error, other.error) };
  }

  /** Discards all samples, after a jump of the wall clock. */
  discard(needsSamples: boolean): void {
    this.samples = [];
    this.needsSamples = needsSamples;
  }

  /** Whether the skew is at most `deltaMs`, as far as the samples can tell. */
  isTrusted(deltaMs: number): boolean {
    const skew = this.estimate();
    if (skew) this.needsSamples = false;
    const trusted = skew ? Math.abs(skew.offset) - skew.error <= deltaMs : !this.needsSamples;
    if (trusted !== this.wasTrusted)
      this.env.log(
        trusted ? 1008 : 1007,
        skew && { offsetMs: Math.round(skew.offset), errorMs: Math.round(skew.error) },
      );
    this.wasTrusted = trusted;
    return trusted;
  }
}
