import { AgentNode } from "../agent/agentNode";
import { ControlNode } from "../control/controlNode";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { defaultHeaderNames } from "../forwarding/headerNames";
import { ProtocolAdapters } from "../adapters/protocolAdapters";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { IngressNode } from "../ingress/ingressNode";
import { StorageNode } from "../storage/storageNode";

/** A program that runs. */
export interface RunningDaemon {
  /** Shuts the program down gracefully. */
  stop(): Task<void>;
}

/**
 * Starts the program that the settings name, in any environment.
 *
 * @example
 * const running = yield* Daemon.start(env, settings);
 * if (running.ok) yield* running.value.stop();
 */
export const Daemon = {
  /** The faults are those of the program's start; "invalid" for an unknown program. */
  *start(env: Environment, settings: Settings, adapters: ProtocolAdapters = {}): Task<Result<RunningDaemon>> {
    switch (settings.program) {
      case "agent":
        return yield* AgentNode.start(env, settings);
      case "ingress":
        return yield* IngressNode.start(env, settings, adapters);
      case "store":
        return yield* StorageNode.start(env, settings, adapters.names ?? defaultHeaderNames);
      case "control":
        return yield* ControlNode.start(env, settings, adapters);
      default: {
        const never: never = settings.program;
        return Fault.fail("invalid", "start", String(never), "unknown program");
      }
    }
  },
};
