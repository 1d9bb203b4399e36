/** Which version of a pool's endpoints gets new requests. */
export interface ReleaseTarget {
  /** Version of the endpoints; "" stands for any. */
  version: string;
  /** Start of the release, wall clock, ms. */
  startedAt: number;
  /** Duration over which traffic shifts to the version, ms. */
  overMs: number;
  /** A version that was rolled back: it gets no requests while other endpoints are there. */
  withdrawn?: string;
}

/** The current release of a pool, with the one that a rollback returns to. */
export interface Release extends ReleaseTarget {
  former?: ReleaseTarget;
}
