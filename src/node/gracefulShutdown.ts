import { Constants } from "../common/constants";
import { Settings } from "../common/settings";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** What a program does in the steps of its shutdown. */
export interface ShutdownSteps {
  /** Hands work over while requests are still handled, until a time of the monotonic clock at most. */
  handOver(deadline: number): Task<void>;
  /** Leaves the cluster, after the last response. */
  leave(): Task<void>;
}

/**
 * The shutdown of every program, within the grace period of its deployment: it still handles requests while it hands its work
 * over, then rejects new ones until those that it has read are finished, then answers what can't be finished and reads no more.
 *
 * @example
 * yield* new GracefulShutdown(env, settings).run({ handOver: (deadline) => …, leave: () => … });
 */
export class GracefulShutdown {
  private readonly gracePeriodMs: number;
  constructor(
    private readonly env: Environment,
    { gracePeriodMs = Constants.gracePeriodMs }: Pick<Settings, "gracePeriodMs">,
  ) {
    this.gracePeriodMs = gracePeriodMs;
  }

  /** Time from SIGTERM until requests without a response get their last one, ms. */
  get finishMs(): number {
    return Math.max(this.gracePeriodMs / 2, this.gracePeriodMs - Constants.shutdownReserveMs);
  }
  /** Time from SIGTERM for which callers that have not noticed it are served, ms. */
  get listenMs(): number {
    return Math.min(Constants.shutdownListenMs, this.finishMs / 2);
  }

  *run({ handOver, leave }: ShutdownSteps): Task<void> {
    const { env } = this;
    const deadline = env.monotonicMs() + this.finishMs;
    env.log(1002);
    env.enterServingPhase("leaving");
    yield* handOver(deadline);
    env.enterServingPhase("draining");
    while (env.monotonicMs() < deadline && env.unfinishedRequests() > 0)
      yield* EnvironmentTools.sleep(env, Constants.shutdownCheckPeriodMs);
    env.enterServingPhase("closed");
    yield* leave();
    env.log(1003);
  }
}
