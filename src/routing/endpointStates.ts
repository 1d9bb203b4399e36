import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";
import { Endpoint } from "../node/clusterSnapshot";

/** What this node knows about one endpoint from the requests that it has sent there itself. */
export interface EndpointState {
  /** The number of consecutive failed requests. */
  consecutiveFailures: number;
  /** Monotonic ms until which the endpoint is ejected as an outlier; 0 if it never was. */
  ejectedUntil: number;
  /** The number of this node's requests that are running at the endpoint. */
  inFlight: number;
  /** The number of requests that were sent since the endpoint last announced a different load and that have not ended. */
  startedSinceAnnouncement: number;
  /** When the last request was sent, in monotonic ms; -Infinity if none was sent. */
  lastStartAt: number;
  /** When the last request was sent while the endpoint was warming up, in monotonic ms; -Infinity if none was sent. */
  lastWarmUpStartAt: number;
  /** The announcement from which startedSinceAnnouncement counts. */
  announcement: Endpoint | undefined;
}

const newState = (): EndpointState => ({
  consecutiveFailures: 0,
  ejectedUntil: 0,
  inFlight: 0,
  startedSinceAnnouncement: 0,
  lastStartAt: -Infinity,
  lastWarmUpStartAt: -Infinity,
  announcement: undefined,
});

/** Holds the states of all endpoints by key, and estimates their load. */
export class EndpointStates {
  private readonly states = new Map<string, EndpointState>();
  private lastSweepAt = 0;
  constructor(private readonly env: Environment) {}

  /** Returns the state of an endpoint, updated by its current announcement; creates it on first use. */
  getOrCreate(endpoint: Endpoint): EndpointState {
    let state = this.states.get(endpoint.key);
    if (!state) {
      state = newState();
      this.states.set(endpoint.key, state);
    }
    if (state.announcement !== endpoint && state.announcement?.active !== endpoint.active)
      state.startedSinceAnnouncement = 0;
    state.announcement = endpoint;
    return state;
  }

  /** Returns the state of an endpoint if one exists. */
  find(endpoint: Endpoint): EndpointState | undefined {
    return this.states.get(endpoint.key);
  }

  /**
   * Estimates the number of requests that are at the endpoint now: its announced load plus what this node has sent since,
   * but at least the number of requests that this node has in flight there.
   */
  load(endpoint: Endpoint): number {
    const state = this.getOrCreate(endpoint);
    return Math.max(endpoint.active + endpoint.waiting + state.startedSinceAnnouncement, state.inFlight);
  }

  /** Removes endpoints that are no longer announced and have nothing in flight; runs at most once per tombstone interval. */
  sweep(announced: Endpoint[]): void {
    const now = this.env.monotonicMs();
    if (now - this.lastSweepAt <= Constants.tombstoneRetentionMs) return;
    const keys = new Set(announced.map((endpoint) => endpoint.key));
    for (const [key, state] of this.states) if (!keys.has(key) && state.inFlight === 0) this.states.delete(key);
    this.lastSweepAt = now;
  }
}
