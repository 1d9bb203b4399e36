import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { ProtocolAdapters } from "../adapters/protocolAdapters";
import { Chan, Csp, Scope, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { NodeEnvironment } from "../runtime/nodeEnvironment";
import { GracefulShutdown } from "../node/gracefulShutdown";
import { Daemon, RunningDaemon } from "./daemon";
import { watchSignals } from "./processSignals";

const STOP_FAILED_EXIT_CODE = 1;

/** What a process runs as. */
export interface DaemonProcessOptions {
  /** Name in faults. */
  name: string;
  settings: Settings;
  log: Environment["log"];
  adapters?: ProtocolAdapters;
  /** Reports that the start failed, and ends the process. */
  onStartFault: (fault: Fault) => never;
}

/** Ends the process if its start takes longer than the grace period allows after a request to stop. */
function* endUnstarted(env: Environment, settings: Settings, stopRequested: Chan<never>): Task<void> {
  yield* Csp.take(stopRequested);
  yield* EnvironmentTools.sleep(env, new GracefulShutdown(env, settings).finishMs);
  env.enterServingPhase("closed");
  exit(env, 0);
}

function exit(env: Environment, code: number): never {
  env.scope.stop();
  process.exit(code);
}

function* stop(env: Environment, daemon: RunningDaemon): Task<void> {
  try {
    yield* daemon.stop();
  } catch (error) {
    env.scope.onError("stop", error);
    exit(env, STOP_FAILED_EXIT_CODE);
  }
  exit(env, 0);
}

/**
 * Runs a program as this process until a signal stops it. A signal that comes during the start takes effect after it.
 *
 * @example
 * DaemonProcess.run({ name: "store", settings, log, onStartFault: exitWithFault });
 */
export const DaemonProcess = {
  run({ name, settings, log, adapters, onStartFault }: DaemonProcessOptions): void {
    const scope = new Scope(name, (task, error) => log(1004, { task, error: String((error as Error).stack ?? error) }));
    const stopRequested = watchSignals(log);
    const env = NodeEnvironment.make(name, scope, log);
    const starting = scope.branch("starting");
    Csp.go(starting, "stop during the start", () => endUnstarted(env, settings, stopRequested));
    Csp.go(scope, "main", function* () {
      const started: Result<RunningDaemon> = yield* Daemon.start(env, settings, adapters);
      if (!started.ok) return onStartFault(started.fault);
      starting.stop();
      yield* Csp.take(stopRequested);
      yield* stop(env, started.value);
    });
  },
};
