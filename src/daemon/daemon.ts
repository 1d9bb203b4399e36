import { AgentNode } from "../agent/agentNode";
import { ControlNode } from "../control/controlNode";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { ownHeaderNames } from "../forwarding/headerNames";
import { ProtocolAdapters } from "../adapters/protocolAdapters";
import { Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { IngressNode } from "../ingress/ingressNode";
import { StorageNode } from "../storage/storageNode";

export type RunningDaemon = { stop(): Task<void> };
/**
 * Starts the program that the settings name, in any environment.
 *
 * @example
 * const running = yield* Daemon.start(env, settings);
 * if (running.ok) yield* running.value.stop();
 */
export const Daemon = {
  *start(env: Env, settings: Settings, shapes: ProtocolAdapters = {}): Task<Result<RunningDaemon>> {
    switch (settings.program) {
      case "agent":
        return yield* AgentNode.start(env, settings);
      case "ingress":
        return yield* IngressNode.start(env, settings, shapes);
      case "store":
        return yield* StorageNode.start(env, settings, shapes.names ?? ownHeaderNames);
      case "control":
        return yield* ControlNode.start(env, settings, shapes);
      default: {
        const never: never = settings.program;
        return Fault.fail("invalid", "start", String(never), "unknown program");
      }
    }
  },
};
