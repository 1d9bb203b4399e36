/** The three bounds on clocks and delays (Birman et al. 2026, section 2.9). */
export const timestampConstants = {
  /** ms; δ, the greatest clock skew that is allowed: NTP on one site stays well below it. */
  deltaMs: 25,
  /** ms; ε, relay from the first node to a replica of the shard over TCP on one site. */
  epsilonMs: 50,
  /** ms; Δ, completion of a put: three synced replicas on small disks, with a margin for a slow sync. */
  bigDeltaMs: 250,
} as const;
