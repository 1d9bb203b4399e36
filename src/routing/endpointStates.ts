import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";
import { Endpoint } from "../node/clusterSnapshot";

/** What this node knows of one endpoint from the requests that it has sent there itself. */
export interface EndpointState {
  /** Failed requests in a row. */
  consecutiveFailures: number;
  /** Monotonic ms until which the endpoint is ejected as an outlier; 0 if it never was. */
  ejectedUntil: number;
  /** Requests of this node that are running at the endpoint. */
  inFlight: number;
  /** Requests sent since the endpoint last announced another load, and not ended. */
  startedSinceAnnouncement: number;
  /** Monotonic ms of the last request sent; -Infinity if there was none. */
  lastStartAt: number;
  /** Monotonic ms of the last request sent while the endpoint was warming up. */
  lastWarmUpStartAt: number;
  /** The announcement that startedSinceAnnouncement counts from. */
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

/**
 * The states of all endpoints by key, and the estimate of load that follows from them.
 *
 * @example
 * const states = new EndpointStates(env);
 * const load = states.load(endpoint);
 */
export class EndpointStates {
  private readonly states = new Map<string, EndpointState>();
  private sweptAt = 0;
  constructor(private readonly env: Environment) {}

  /** The state of an endpoint as it is announced now; created on first use. */
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

  /** The state of an endpoint if one exists. */
  find(endpoint: Endpoint): EndpointState | undefined {
    return this.states.get(endpoint.key);
  }

  /** Best estimate of the requests at the endpoint now: its announced load and what was sent since, or our own in flight. */
  load(endpoint: Endpoint): number {
    const state = this.getOrCreate(endpoint);
    return Math.max(endpoint.active + endpoint.waiting + state.startedSinceAnnouncement, state.inFlight);
  }

  /** Forgets, at most once per tombstone interval, endpoints that are no longer announced and have nothing in flight. */
  sweep(announced: Endpoint[]): void {
    const now = this.env.mono();
    if (now - this.sweptAt <= Constants.tombstoneMs) return;
    const keys = new Set(announced.map((endpoint) => endpoint.key));
    for (const [key, state] of this.states) if (!keys.has(key) && state.inFlight === 0) this.states.delete(key);
    this.sweptAt = now;
  }
}
