/**
 * Returns the smallest index from `low` on for which the predicate is true, or `high`. The predicate must be false up
 * to some index and true from there on.
 *
 * @example firstIndex(0, sorted.length, (index) => sorted[index] > 10)
 */
export function firstIndex(low: number, high: number, predicate: (index: number) => boolean): number {
  while (low < high) {
    const middle = (low + high) >> 1;
    if (predicate(middle)) high = middle;
    else low = middle + 1;
  }
  return low;
}
