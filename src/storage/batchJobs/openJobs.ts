import { Constants } from "../../common/constants";
import { Node } from "../../node/node";
import { Chan, Csp } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { BatchJob } from "../../shard/shardTypes";
import { ItemCounters } from "./itemCounters";
import { OpenJob } from "./openJob";

/**
 * The jobs whose items this node runs, which are those of the shards that it leads. The items may run more than once,
 * so no claims are stored: only the leader knows which items run, and a new leader restarts all items without a result.
 */
export class OpenJobs {
  private readonly jobs = new Map<string, OpenJob>();
  /** Holds a value when there may be items to schedule. */
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

  /** Adds a job that was accepted, or that a shard contains which this node now leads. */
  add(replica: ShardReplica, id: string): void {
    const job = replica.data.jobs.get(id);
    const epoch = replica.view?.epoch ?? 0;
    const existing = this.jobs.get(id);
    if (!job?.requests || job.open === 0 || job.ended || existing?.epoch === epoch) return;
    const open: OpenJob = existing ?? {
      id,
      replica,
      epoch,
      ready: [],
      delayed: [],
      progress: new Map(),
      running: new Map(),
      leadershipLostAt: Infinity,
    };
    // Attempts that started before a view change continue.
    const hasBegun = (item: number): boolean => open.running.has(item) || open.delayed.includes(item);
    open.ready = job.items.flatMap((item, index) => (item.state === "waiting" && !hasBegun(index) ? [index] : []));
    this.jobs.set(id, Object.assign(open, { epoch, leadershipLostAt: Infinity }));
    Csp.offer(this.changed, true);
  }

  /** Adds all open jobs of a shard that this node now leads. */
  addJobsOf(replica: ShardReplica): void {
    for (const job of replica.data.jobs.values()) this.add(replica, job.id);
  }

  /**
   * Records that this node has stopped leading the shard. No further attempt starts. Running attempts continue for
   * `leadershipRegainMs`, because most view changes keep the leader.
   */
  leadershipStopped(replica: ShardReplica): void {
    for (const open of this.jobs.values())
      if (open.replica === replica) open.leadershipLostAt = Math.min(open.leadershipLostAt, this.env.monotonicMs());
  }

  /** Aborts the running items of a job that was ended. */
  end(id: string): void {
    const open = this.jobs.get(id);
    if (open) this.abort(open);
  }

  /** Aborts the running items of a job and removes the job. */
  abort(open: OpenJob): void {
    this.jobs.delete(open.id);
    for (const response of open.running.values()) {
      if (!response) continue;
      this.counters.broken_off += 1;
      response.abort();
    }
    Csp.offer(this.changed, true);
  }

  /**
   * Whether running attempts may continue: the job is open and was not ended, and this node leads its shard or stopped
   * leading it only recently.
   */
  mayContinue(open: OpenJob): boolean {
    const { view, data } = open.replica;
    const job = data.jobs.get(open.id);
    const leads =
      view?.lead === this.node.self.id && this.env.monotonicMs() - open.leadershipLostAt < Constants.leadershipRegainMs;
    return !!job && job.open > 0 && !job.ended && leads && this.jobs.get(open.id) === open;
  }

  /** The job if its attempts may start: it was not ended, and this node leads its shard in the epoch of `add`. */
  findSchedulable(open: OpenJob): BatchJob | undefined {
    const { replica } = open;
    const job = replica.data.jobs.get(open.id);
    const leads = replica.view?.epoch === open.epoch && replica.holdsLease();
    return job && !job.ended && leads && this.jobs.get(open.id) === open ? job : undefined;
  }
}
