/** Metrics. */
export const metricsConstants = {
  /** Values of one measured time that its summary is computed from. */
  summaryValuesMax: 1000,
} as const;
