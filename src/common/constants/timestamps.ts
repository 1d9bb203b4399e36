/** The three bounds on clocks and delays (Birman et al. 2026, section 2.9). */
export const timestampConstants = {
  /** δ, the maximum clock skew that is allowed, ms. NTP on one site stays well below it. */
  deltaMs: 25,
  /** ε, the maximum time of a relay over TCP on one site from the first node to a replica of the shard, ms. */
  epsilonMs: 50,
  /**
   * Δ, the maximum time until a put is complete, ms: three synced replicas on small disks, with a margin for a slow
   * sync.
   */
  bigDeltaMs: 250,
} as const;
