/** Combines a list of bucket checksums into one; equal lists give equal totals. */
export const totalChecksum = (buckets: readonly number[]): number =>
  buckets.reduce((total, each, bucket) => (total ^ Math.imul(each, 2 * bucket + 1)) >>> 0, 0);

/** Returns the buckets whose checksums differ. @example differingBuckets([1, 2], [1, 3]) // [1] */
export const differingBuckets = (own: readonly number[], other: readonly number[]): number[] =>
  own.flatMap((checksum, bucket) => (checksum === other[bucket] ? [] : [bucket]));
