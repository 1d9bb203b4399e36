import { Constants } from "../../common/constants";
import { Node } from "../../node/node";
import { Chan, Csp } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { BatchJob } from "../../shard/shardTypes";
import { ItemCounters } from "./itemCounters";
import { OpenJob } from "./openJob";

/**
 * The jobs whose items this node runs: those of the shards that it leads. Items may run more than once, so there is no
 * claim: only the leader knows what runs, and a new leader starts anew what has no result.
 *
 * @example
 * openJobs.add(replica, "lot-17");
 * const job = openJobs.find(open);
 */
export class OpenJobs {
  private readonly jobs = new Map<string, OpenJob>();
  /** Has a value when there may be something to schedule. */
  readonly changed: Chan<true> = Csp.sliding(1);

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly counters: ItemCounters,
  ) {}

  get size(): number {
    return this.jobs.size;
  }

  all = (): OpenJob[] => [...this.jobs.values()];

  /** Begins to run a job that was accepted, or found in the log of a shard that this node leads now. */
  add(replica: ShardReplica, id: string): void {
    const job = replica.data.jobs.get(id);
    const epoch = replica.view?.epoch ?? 0;
    const known = this.jobs.get(id);
    if (!job?.requests || job.open === 0 || job.ended || known?.epoch === epoch) return;
    const open: OpenJob = known ?? {
      id,
      replica,
      epoch,
      ready: [],
      delayed: [],
      progress: new Map(),
      running: new Map(),
      leadershipLostAt: Infinity,
    };
    // attempts that began before a view change go on
    const hasBegun = (item: number): boolean => open.running.has(item) || open.delayed.includes(item);
    open.ready = job.items.flatMap((item, index) => (item.state === "waiting" && !hasBegun(index) ? [index] : []));
    this.jobs.set(id, Object.assign(open, { epoch, leadershipLostAt: Infinity }));
    Csp.offer(this.changed, true);
  }

  /** This node leads the shard from now on. */
  addJobsOf(replica: ShardReplica): void {
    for (const job of replica.data.jobs.values()) this.add(replica, job.id);
  }

  /**
   * This node has stopped leading the shard. No attempt starts from now on; what runs goes on for a while, as most view
   * changes leave the leader as it is.
   */
  leadershipStopped(replica: ShardReplica): void {
    for (const open of this.jobs.values())
      if (open.replica === replica) open.leadershipLostAt = Math.min(open.leadershipLostAt, this.env.monotonicMs());
  }

  /** The job has been ended: what runs of it is aborted. */
  end(id: string): void {
    const open = this.jobs.get(id);
    if (open) this.abort(open);
  }

  /** Aborts what runs of a job and forgets it. */
  abort(open: OpenJob): void {
    this.jobs.delete(open.id);
    for (const response of open.running.values()) {
      if (!response) continue;
      this.counters.broken_off += 1;
      response.abort();
    }
    Csp.offer(this.changed, true);
  }

  /** Whether running attempts may go on: the job isn't ended, and no other node is known to lead its shard. */
  mayContinue(open: OpenJob): boolean {
    const { view, data } = open.replica;
    const job = data.jobs.get(open.id);
    const leads =
      view?.lead === this.node.self.id && this.env.monotonicMs() - open.leadershipLostAt < Constants.leadershipRegainMs;
    return !!job && job.open > 0 && !job.ended && leads && this.jobs.get(open.id) === open;
  }

  /** The job, if attempts may start: this node leads its shard in the epoch in which it was added. */
  find(open: OpenJob): BatchJob | undefined {
    const { replica } = open;
    const job = replica.data.jobs.get(open.id);
    const leads = replica.view?.epoch === open.epoch && replica.holdsLease();
    return job && !job.ended && leads && this.jobs.get(open.id) === open ? job : undefined;
  }
}
