import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";
import { EndpointState } from "./endpointStates";

/**
 * Ejects endpoints whose requests keep failing: they get no requests for Constants.ejectMs. After that time a single
 * further failure ejects the endpoint again.
 */
export class OutlierEjection {
  constructor(private readonly env: Environment) {}

  isEjected(state: EndpointState, now: number): boolean {
    return state.ejectedUntil > now;
  }

  recordSuccess(state: EndpointState): void {
    state.consecutiveFailures = 0;
  }

  /** Counts a failure. A `decisive` one (no connection, or no response in time) ejects the endpoint at once. */
  recordFailure(state: EndpointState, endpointKey: string, decisive: boolean): void {
    state.consecutiveFailures += 1;
    if (!decisive && state.consecutiveFailures < Constants.ejectFailures) return;
    state.ejectedUntil = this.env.monotonicMs() + Constants.ejectMs;
    state.consecutiveFailures = Constants.ejectFailures - 1;
    this.env.log(1204, { replica: endpointKey });
  }
}
