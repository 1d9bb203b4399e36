import { Constants } from "../common/constants";
import { Node } from "../node/node";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { Retention } from "./retention";

/** Period at which the free disk space is checked, ms. */
const DISK_CHECK_PERIOD_MS = 1000;

/**
 * Background maintenance of the replicas of a storage node: it checks the free disk space, retries failed disks,
 * requests view changes from the control group, repairs replicas that differ, and applies the retention.
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
    EnvironmentTools.runSupervised(this.env, this.env.scope, "disk check", () => this.diskCheckLoop());
    EnvironmentTools.runSupervised(this.env, this.env.scope, "view change requests", () =>
      this.viewChangeRequestLoop(),
    );
    EnvironmentTools.runSupervised(this.env, this.env.scope, "repair", () => this.repairLoop());
  }

  /** Requests a view change from the control group without waiting for the next period. */
  requestViewChange(): void {
    Csp.offer(this.viewChangeNeeded, true);
  }

  /**
   * Notifies the control nodes while a replica needs a view change. The notification only makes them check the shards
   * at once; they decide by their own checks.
   */
  private *viewChangeRequestLoop(): Task<void> {
    for (;;) {
      yield* EnvironmentTools.takeWithin(this.env, this.viewChangeNeeded, Constants.leaseRenewMs);
      if (![...this.replicas.values()].some((replica) => replica.needsViewChange())) continue;
      for (const member of this.node.membership.alive("control"))
        Csp.go(this.env.scope, "request view change", () =>
          this.node.rpc.call(member.address, "views.call", {}, Constants.replicateTimeoutMs),
        );
      yield* EnvironmentTools.sleep(this.env, Constants.statusPollGapMs);
    }
  }

  private *diskCheckLoop(): Task<void> {
    let checkCount = 0;
    for (;;) {
      const free = yield* this.env.disk.freeBytes(this.dataFolder);
      const isLow = free.ok && free.value < Constants.diskReserveBytes;
      checkCount += 1;
      for (const replica of this.replicas.values()) {
        replica.isDiskLow = isLow;
        if (checkCount % Constants.diskRetrySeconds === 0)
          Csp.go(this.env.scope, "retry disk", () => replica.retryDisk());
      }
      yield* EnvironmentTools.sleep(this.env, DISK_CHECK_PERIOD_MS);
    }
  }

  private *repairLoop(): Task<void> {
    let passNumber = 0;
    for (;;) {
      yield* EnvironmentTools.sleep(this.env, Constants.repairPeriodMs);
      passNumber += 1;
      for (const replica of this.replicas.values()) {
        yield* replica.scrub(passNumber);
        if (!replica.holdsLease()) continue;
        yield* replica.repair();
        yield* this.retention.trim(replica);
      }
    }
  }
}
