/** Metrics. */
export const metricsConstants = {
  /** Number of newest measurements from which a summary is computed. */
  summaryValuesMax: 1000,
} as const;
