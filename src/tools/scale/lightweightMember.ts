import { Fault, Result } from "../../common/fault";
import { NodeContext } from "../../node/nodeContext";
import { Node } from "../../node/node";
import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { Program } from "../../membership/member";

export type LightweightMemberSettings = { program: Program; district: string; address: string; seeds: string[] };
/** How often an endpoint announces itself. */
const ANNOUNCE_INTERVAL_MS = 900;
/** How often a member reads its cluster snapshot, as requests would make it. */
const READ_SNAPSHOT_INTERVAL_MS = 250;

/**
 * A member without traffic: the real membership, gossip and control snapshots over the network of its environment.
 *
 * @example
 * const started = yield* LightweightMember.start(env, { program: "agent", district: "r1-z1", address, seeds });
 * if (started.ok) started.value.otherMemberCount();
 */
export class LightweightMember {
  private constructor(readonly node: Node) {}
  static *start(env: Environment, settings: LightweightMemberSettings): Task<Result<LightweightMember>> {
    const { program, ...place } = settings;
    const started = yield* Node.start(env, { program, cluster: "scale", ...place, http: settings.address }, program);
    if (!started.ok) return started;
    const member = new LightweightMember(started.value);
    EnvironmentTools.runSupervised(env, env.scope, "read snapshots", () => member.readSnapshotLoop());
    return Fault.ok(member);
  }
  private *readSnapshotLoop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.sleep(this.node.env, READ_SNAPSHOT_INTERVAL_MS);
      this.node.snapshot();
    }
  }
  /** Announces endpoints periodically, with a load that differs from one announcement to the next. */
  announce(ids: string[], zone: string): void {
    const { node } = this;
    const host = NodeContext.of(node);
    EnvironmentTools.runSupervised(node.env, node.env.scope, "announce", function* () {
      // A random delay keeps members from announcing at the same time.
      yield* EnvironmentTools.sleep(node.env, ANNOUNCE_INTERVAL_MS * node.env.random());
      for (let round = 0; ; round += 1) {
        for (const id of ids) {
          const number = Number(id.replace(/^\D+/, ""));
          const announcement = {
            id,
            address: `10.${number >> 8}.${number & 255}.1:9000`,
            pool: `pool-${number % 9}`,
            district: zone,
            version: "v1",
            capacity: 16,
            active: round % 16,
            waiting: 0,
            instance: "1",
          };
          yield* host.announce(announcement);
          yield* EnvironmentTools.sleep(node.env, ANNOUNCE_INTERVAL_MS / ids.length);
        }
      }
    });
  }
  /** How many other members this one considers alive. */
  otherMemberCount(): number {
    return this.node.membership.alive().length - 1;
  }
  /** How many endpoints this member may select from. */
  endpointCount(): number {
    return this.node.gossip.live("replica/").length;
  }
  /** Stops the member immediately, without leaving the cluster. */
  end(): void {
    this.node.env.scope.stop();
  }
}
