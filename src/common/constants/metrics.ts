/** Metrics. */
export const metricsConstants = {
  /** Values of one measured time that its summary is computed from. */
  spreadKept: 1000,
} as const;
