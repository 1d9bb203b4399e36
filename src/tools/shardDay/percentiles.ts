/** The value below which this share of the sorted values lies, 0 if there is none. */
export function percentile(sorted: number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

/** The number rounded to so many decimals. */
export function rounded(value: number, digits = 0): number {
  return Number(value.toFixed(digits));
}
