/** The version of a pool's endpoints that gets new requests. */
export interface ReleaseTarget {
  /** Version of the endpoints; "" matches any. */
  version: string;
  /** Start of the release, wall clock, ms. */
  startedAt: number;
  /** Duration over which traffic shifts to the version, ms. */
  overMs: number;
  /** A version that was rolled back. It gets no requests while other endpoints are available. */
  withdrawn?: string;
}

/** The current release of a pool, with the one that a rollback restores. */
export interface Release extends ReleaseTarget {
  former?: ReleaseTarget;
}
