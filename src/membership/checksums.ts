/** One checksum for a list of bucket checksums; equal lists give equal totals. @example totalChecksum([1, 2]) */
export const totalChecksum = (buckets: readonly number[]): number =>
  buckets.reduce((total, each, bucket) => (total ^ Math.imul(each, 2 * bucket + 1)) >>> 0, 0);

/** Buckets whose checksums differ. @example differingBuckets([1, 2], [1, 3]) // [1] */
export const differingBuckets = (own: readonly number[], other: readonly number[]): number[] =>
  own.flatMap((checksum, bucket) => (checksum === other[bucket] ? [] : [bucket]));
