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

/** A running program. */
export interface RunningDaemon {
  /** Shuts the program down gracefully. */
  stop(): Task<void>;
}

/**
 * Starts the program that the settings name, in a real or a simulated environment.
 *
 * @example
 * const running = yield* Daemon.start(env, settings);
 * if (running.ok) yield* running.value.stop();
 */
export const Daemon = {
  /** Starts the program. Faults: those of the program's start, and "invalid" for an unknown program. */
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
