import { Constants } from "../common/constants";
import { Node } from "../node/node";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { Retention } from "./retention";

/** Free space on the disk is checked this often, ms. */
const DISK_CHECK_MS = 1000;

/**
 * Periodic work on the replicas of a storage node: free disk space, failed disks, calls for a view change, repair of
 * replicas that differ, retention.
 *
 * @example
 * maintenance.start();
 * maintenance.requestViewChange();
 */
export class ShardMaintenance {
  private readonly viewChangeNeeded: Chan<true> = Csp.sliding(1);

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly dataFolder: string,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    private readonly retention: Retention,
  ) {}

  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "disk watch", () => this.watchDisk());
    EnvironmentTools.runSupervised(this.env, this.env.scope, "calls for control", () => this.callControlLoop());
    EnvironmentTools.runSupervised(this.env, this.env.scope, "repair", () => this.repairLoop());
  }

  /** A replica needs another view: control is called at once. */
  requestViewChange(): void {
    Csp.offer(this.viewChangeNeeded, true);
  }

  /** The call is a hint that control should check the shards now; it decides by what it finds. */
  private *callControlLoop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.takeWithin(this.env, this.viewChangeNeeded, Constants.leaseRenewMs);
      if (![...this.replicas.values()].some((replica) => replica.needsViewChange())) continue;
      for (const member of this.node.membership.alive("control"))
        Csp.go(this.env.scope, "call for control", () =>
          this.node.rpc.call(member.address, "views.call", {}, Constants.replicateTimeoutMs),
        );
      yield* EnvironmentTools.sleep(this.env, Constants.statusPollGapMs);
    }
  }

  private *watchDisk(): Task<void> {
    let checks = 0;
    for (;;) {
      const free = yield* this.env.disk.freeBytes(this.dataFolder);
      const isLow = free.ok && free.value < Constants.diskReserveBytes;
      checks += 1;
      for (const replica of this.replicas.values()) {
        replica.isDiskLow = isLow;
        if (checks % Constants.diskRetrySeconds === 0)
          Csp.go(this.env.scope, "try disk again", () => replica.retryDisk());
      }
      yield* EnvironmentTools.sleep(this.env, DISK_CHECK_MS);
    }
  }

  private *repairLoop(): Task<void> {
    let pass = 0;
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.repairPeriodMs);
      pass += 1;
      for (const replica of this.replicas.values()) {
        yield* replica.scrub(pass);
        if (!replica.holdsLease()) continue;
        yield* replica.repair();
        yield* this.retention.trim(replica);
      }
    }
  }
}
