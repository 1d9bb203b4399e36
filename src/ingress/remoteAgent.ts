import { Constants } from "../common/constants";
import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { ControlClient } from "../node/controlClient";
import { controlAddresses, NodeContext } from "../node/nodeContext";
import { AgentSnapshot, SnapshotFeed } from "../node/snapshotFeed";
import { ReadIndexConfirmation } from "../node/readIndexConfirmation";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import type { AgentLink } from "./agentLink";

const PUBLISH_TIMEOUT_MS = 500;
const ANNOUNCE_TIMEOUT_MS = 800;
/** How much longer than the agent's own wait a feed call may take, in ms. */
const FEED_GRACE_MS = 500;
const FEED_RETRY_DELAY_MS = 100;

const emptySnapshot: ClusterSnapshot = {
  revision: 0,
  control: undefined,
  members: [],
  endpoints: [],
  overloadedPools: {},
  isCurrent: false,
  clockTrusted: false,
};

/**
 * An agent in another process on the same machine, which feeds cluster snapshots to the ingress over loopback. The ingress
 * confirms the configuration itself, since the confirmation of a long-running agent is not valid for an ingress that has
 * just started.
 */
export class RemoteAgent implements AgentLink {
  readonly id: string;
  readonly rpc: Rpc;
  private readonly confirmation: ReadIndexConfirmation;
  private latest = emptySnapshot;
  /** When the latest snapshot was requested, in monotonic ms. */
  private latestRequestedAt = -Infinity;
  constructor(
    private readonly env: Environment,
    cluster: string,
    private readonly address: string,
  ) {
    this.id = EnvironmentTools.randomId(env, "ingress");
    this.rpc = new Rpc(env, cluster, this.id);
    this.confirmation = new ReadIndexConfirmation(env, this.rpc, {
      own: () => undefined,
      source: () => this.address,
      configuration: () => this.latest.control,
      announced: () => undefined, // The feed delivers the configuration.
    });
  }

  snapshot(): ClusterSnapshot {
    return this.latest;
  }

  isStale(): boolean {
    return this.env.monotonicMs() - this.latestRequestedAt > Constants.contactTimeoutMs;
  }

  isConfirmed(): boolean {
    return this.confirmation.isConfirmed();
  }

  configurationMetrics(): Record<string, number> {
    return {};
  }

  start(onChange: () => void): void {
    this.confirmation.start();
    EnvironmentTools.runSupervised(this.env, this.env.scope, "feed", () => this.feedLoop(onChange));
  }

  processResumed(): void {
    this.latestRequestedAt = -Infinity;
    this.confirmation.invalidate();
  }

  publish(key: string, value: unknown, leaseMs: number): void {
    const { rpc, address } = this;
    Csp.go(this.env.scope, "publish fact", () =>
      rpc.call(address, "agent.tell", { key, value, grantMs: leaseMs }, PUBLISH_TIMEOUT_MS),
    );
  }

  nodeContext(): NodeContext {
    const { env, rpc, id, address } = this;
    return {
      env,
      rpc,
      id,
      snapshot: () => this.latest,
      control: new ControlClient(env, rpc, () => controlAddresses(this.latest)),
      announce: (announcement) => rpc.call(address, "agent.announce", announcement, ANNOUNCE_TIMEOUT_MS),
      withdraw: (endpointId) => rpc.call(address, "agent.goodbye", { id: endpointId }, ANNOUNCE_TIMEOUT_MS),
    };
  }

  prepareStop(): void {
    // The agent process is stopped separately.
  }

  *leaveCluster(): Task<void> {
    // The agent process leaves by itself.
  }

  private *feedLoop(onChange: () => void): Task<void> {
    for (;;) {
      const requestedAt = this.env.monotonicMs();
      const request = { seen: this.latest.revision, controlIndex: this.latest.control?.index ?? 0 };
      const timeoutMs = Constants.feedWaitMaxMs + FEED_GRACE_MS;
      const response = yield* this.rpc.call(this.address, "agent.feed", request, timeoutMs);
      if (!response.ok) {
        yield* EnvironmentTools.sleep(this.env, FEED_RETRY_DELAY_MS);
        continue;
      }
      this.accept(SnapshotFeed.decode(response.value));
      this.latestRequestedAt = requestedAt;
      onChange();
    }
  }

  /** Accepts a snapshot from the feed, but its control state only if it is newer: a restarted agent may have an older one. */
  private accept(fed: AgentSnapshot): void {
    const { control, controlIndex, ...rest } = fed;
    const current = this.latest.control;
    const newest = control && (!current || control.index > current.index) ? control : current;
    if (newest && newest !== current) this.env.log(1601, { index: newest.index, manifest: newest.manifest.version });
    this.latest = { ...rest, control: newest, isCurrent: rest.isCurrent && controlIndex >= (newest?.index ?? 0) };
  }
}
