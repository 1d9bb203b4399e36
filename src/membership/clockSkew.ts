import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";

/** Offset by which this process's wall clock is ahead of the other members', and the error bound of the offset, ms. */
export interface ClockSkew {
  readonly offset: number;
  readonly error: number;
}

interface ClockSample extends ClockSkew {
  readonly memberId: string;
}

/** The skew is estimated only from samples of at least this many other members. */
const MIN_MEMBERS = 2;

/**
 * Estimates the skew of this process's wall clock against the other members' from the round trips of pings (as in
 * Cristian, "Probabilistic clock synchronization", 1989), and decides whether the clock may be trusted.
 */
export class ClockSkewEstimator {
  /** Oldest first. */
  private samples: ClockSample[] = [];
  /** Whether the clock has jumped; it is then not trusted until there are enough new samples. */
  private needsSamples = false;
  private wasTrusted = true;

  constructor(private readonly env: Environment) {}

  /**
   * Adds a sample from a round trip to a member.
   * @param sentAt this process's clock when it sent the ping, ms
   * @param theirTime the member's clock when it acknowledged the ping, ms
   */
  addRoundTrip(memberId: string, sentAt: number, theirTime: number): void {
    const now = this.env.wallClockMs();
    const error = (now - sentAt) / 2;
    if (!(error >= 0 && error < Constants.epsilonMs)) return;
    this.samples.push({ memberId, offset: now - error - theirTime, error });
    if (this.samples.length > Constants.clockSamplesMax) this.samples.shift();
  }

  /** Returns the median of the newest samples of each member; undefined with too few members. */
  estimate(): ClockSkew | undefined {
    const newest = [...new Map(this.samples.map((sample) => [sample.memberId, sample])).values()];
    if (newest.length < MIN_MEMBERS) return undefined;
    const sorted = newest.sort((left, right) => left.offset - right.offset);
    const middle = sorted[Math.floor(sorted.length / 2)];
    const other = sorted.length % 2 === 0 ? sorted[sorted.length / 2 - 1] : middle;
    return { offset: (middle.offset + other.offset) / 2, error: Math.max(middle.error, other.error) };
  }

  /**
   * Discards all samples; called after the wall clock has jumped.
   * @param needsSamples whether the clock is distrusted until there are enough new samples
   */
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
