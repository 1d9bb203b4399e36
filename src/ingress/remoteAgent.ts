import { Constants } from "../common/constants";
import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { ControlClient } from "../node/controlClient";
import { controlAddresses, NodeContext } from "../node/nodeContext";
import { FedSnapshot, SnapshotFeed } from "../node/snapshotFeed";
import { ReadIndexConfirmation } from "../node/readIndexConfirmation";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import type { AgentLink } from "./agentLink";

const publishTimeoutMs = 500;
const announceTimeoutMs = 800;
/** How long a feed may take beyond the agent's own wait, in ms. */
const feedGraceMs = 500;
const feedRetryMs = 100;

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
 * An agent in a process beside the ingress, which feeds it cluster snapshots over loopback. The ingress confirms the
 * configuration itself: an agent that went on running says nothing about an ingress that has just started.
 *
 * @example
 * const link = new RemoteAgent(env, "kiln", "127.0.0.1:7660");
 */
export class RemoteAgent implements AgentLink {
  readonly id: string;
  readonly rpc: Rpc;
  private readonly confirmation: ReadIndexConfirmation;
  private latest = emptySnapshot;
  /** Monotonic ms when the latest snapshot was asked for. */
  private latestAskedAt = -Infinity;
  constructor(
    private readonly env: Environment,
    cluster: string,
    private readonly address: string,
  ) {
    this.id = EnvironmentTools.id(env, "ingress");
    this.rpc = new Rpc(env, cluster, this.id);
    this.confirmation = new ReadIndexConfirmation(env, this.rpc, {
      own: () => undefined,
      source: () => this.address,
      configuration: () => this.latest.control,
      *fetch() {}, // the feed brings it
    });
  }

  snapshot(): ClusterSnapshot {
    return this.latest;
  }

  isStale(): boolean {
    return this.env.mono() - this.latestAskedAt > Constants.frameStaleMs;
  }

  isConfirmed(): boolean {
    return this.confirmation.isConfirmed();
  }

  start(onChange: () => void): void {
    this.confirmation.start();
    EnvironmentTools.keep(this.env, this.env.scope, "feed", () => this.feedLoop(onChange));
  }

  processResumed(): void {
    this.latestAskedAt = -Infinity;
    this.confirmation.invalidate();
  }

  publish(key: string, value: unknown, leaseMs: number): void {
    const { rpc, address } = this;
    Csp.go(this.env.scope, "tell news", () =>
      rpc.call(address, "agent.tell", { key, value, grantMs: leaseMs }, publishTimeoutMs),
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
      announce: (announcement) => rpc.call(address, "agent.announce", announcement, announceTimeoutMs),
      goodbye: (endpointId) => rpc.call(address, "agent.goodbye", { id: endpointId }, announceTimeoutMs),
    };
  }

  prepareStop(): void {
    // the agent is stopped by itself
  }

  *leaveCluster(): Task<void> {
    this.env.log(1003);
  }

  private *feedLoop(onChange: () => void): Task<void> {
    for (;;) {
      const askedAt = this.env.mono();
      const request = { seen: this.latest.revision, controlIndex: this.latest.control?.index ?? 0 };
      const timeoutMs = Constants.feedWaitMs + feedGraceMs;
      const response = yield* this.rpc.call(this.address, "agent.feed", request, timeoutMs);
      if (!response.ok) {
        yield* EnvironmentTools.sleep(this.env, feedRetryMs);
        continue;
      }
      this.accept(SnapshotFeed.decode(response.value));
      this.latestAskedAt = askedAt;
      onChange();
    }
  }

  /** Takes a fed snapshot; its configuration only if it is newer, since an agent that restarted may know an older one. */
  private accept(fed: FedSnapshot): void {
    const { control, controlIndex, ...rest } = fed;
    const current = this.latest.control;
    const newest = control && (!current || control.index > current.index) ? control : current;
    if (newest && newest !== current) this.env.log(1601, { index: newest.index, manifest: newest.manifest.version });
    this.latest = { ...rest, control: newest, isCurrent: rest.isCurrent && controlIndex >= (newest?.index ?? 0) };
  }
}
