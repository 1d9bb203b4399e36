import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";
import { EndpointState } from "./endpointStates";

/**
 * Outlier ejection: an endpoint whose requests keep failing gets none for a while. After the ejection one more failure
 * is enough to eject it again.
 *
 * @example
 * const ejection = new OutlierEjection(env);
 * ejection.recordFailure(state, "replica/r1/i1", false);
 */
export class OutlierEjection {
  constructor(private readonly env: Environment) {}

  isEjected(state: EndpointState, now: number): boolean {
    return state.ejectedUntil > now;
  }

  recordSuccess(state: EndpointState): void {
    state.consecutiveFailures = 0;
  }

  /** Counts a failure; `decisive` (no connection, no answer in time) ejects without waiting for a second one. */
  recordFailure(state: EndpointState, endpointKey: string, decisive: boolean): void {
    state.consecutiveFailures += 1;
    if (!decisive && state.consecutiveFailures < Constants.ejectFailures) return;
    state.ejectedUntil = this.env.mono() + Constants.ejectMs;
    state.consecutiveFailures = Constants.ejectFailures - 1;
    this.env.log(1204, { replica: endpointKey });
  }
}
