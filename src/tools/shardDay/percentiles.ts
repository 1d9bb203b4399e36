/** Returns the value below which this share of the sorted values lies, 0 if there are no values. */
export function percentile(sorted: number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

/** Returns the number rounded to so many decimal places. */
export function rounded(value: number, digits = 0): number {
  return Number(value.toFixed(digits));
}
