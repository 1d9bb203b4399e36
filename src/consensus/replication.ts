import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Rpc } from "../rpc/rpc";
import { Command } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import { ReplicatedLog } from "./log";
import { AppendRequest, AppendResponse, LogEntry } from "./messages";
import { Follower, ConsensusReplica } from "./replica";
import { Content, Packed, Transfer } from "./transfer";

/**
 * The lead's side: appends to every follower, the commit index, and the lease that their responses give.
 *
 * @example
 * const replication = new Replication(replica, rpc);
 * if (replication.holdsLead()) replication.append({ tag: "noop" });
 */
export class Replication {
  private packedBase: { base: ControlState; packed: Packed } | undefined;
  private transfers = 0;
  private readonly env: Env;
  private readonly self: string;
  private readonly log: ReplicatedLog;

  constructor(
    private readonly replica: ConsensusReplica,
    private readonly rpc: Rpc,
  ) {
    this.env = replica.env;
    this.self = replica.self;
    this.log = replica.log;
  }

  /**
   * Whether the lead's grant, counted from before the asking, still stands, and what was committed before its time is
   * applied here: an entry of its own term is committed.
   * @example if (!group.holdsLead()) return;
   */
  holdsLeader(): boolean {
    if (!this.replica.leadsCommitted()) return false;
    const now = this.env.mono();
    const heard = this.log
      .voters()
      .filter(
        (id) =>
          id === this.self || now - (this.replica.followers.get(id)?.heardAt ?? -Infinity) < Constants.controlLeaseMs,
      );
    return heard.length >= this.replica.majority();
  }
  /**
   * The newest time T on this node's monotonic clock such that a majority of the voters acknowledged this lead in
   * reply to requests begun at T or later; the lead itself counts as acknowledged now. What the lead had applied at T
   * was current then. -Infinity on any other node, and until an entry of the lead's own term is applied.
   * @example const currentAsOf = group.quorumContactAt();
   */
  quorumContactAt(): number {
    if (!this.replica.leadsCommitted()) return -Infinity;
    const acknowledgedAt = this.log
      .voters()
      .map((id) => (id === this.self ? this.env.mono() : (this.replica.followers.get(id)?.heardAt ?? -Infinity)))
      .sort((left, right) => right - left);
    return acknowledgedAt[this.replica.majority() - 1] ?? -Infinity;
  }
  /** How far a member is behind, in entries. @example group.lag("node-4") */
  lag(id: string): number {
    return this.log.lastIndex() - (this.replica.followers.get(id)?.match ?? 0);
  }
  /**
   * Whether a standby may be counted on as a voter from its first entry on: it holds the log nearly to its end, and was
   * heard just now. One that has nothing yet could neither acknowledge nor vote, and the group might need it to.
   * @example group.caughtUp("node-4")
   */
  caughtUp(id: string): boolean {
    const follower = this.replica.followers.get(id);
    if (!follower || follower.match === 0 || this.env.mono() - follower.heardAt > 3 * Constants.heartbeatMs)
      return false;
    return this.lag(id) <= Constants.standbyLagMax;
  }
  /** The voter that may best lead after this one, or "". */
  successor(): string {
    const others = this.log.voters().filter((id) => id !== this.self && this.caughtUp(id));
    return others.sort((left, right) => this.lag(left) - this.lag(right))[0] ?? "";
  }
  /** Appends a command in this node's term, and wakes disk and followers. */
  append(command: Command): LogEntry {
    const entry: LogEntry = { index: this.log.lastIndex() + 1, term: this.log.term, command };
    this.log.append(entry);
    for (const follower of this.replica.followers.values()) Csp.offer(follower.wake, true);
    return entry;
  }
  /** Syncs what was appended, and folds the log when it is long. */
  *writeLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.takeWithin(this.env, this.log.writeWake, 1000);
      yield* Csp.take(this.log.diskToken);
      try {
        const synced = yield* this.log.sync();
        if (!synced.ok) {
          this.env.log(1404, { fault: synced.fault });
          yield* this.replica.stepDown(this.log.term, true);
          continue;
        }
        if (synced.value > 0 && this.replica.role === "leader") this.advance();
        if (this.log.isLong(this.replica.applied)) yield* this.log.fold(this.replica.state, this.replica.applied);
      } finally {
        Csp.offer(this.log.diskToken, true);
      }
    }
  }
  /** Keeps one replication task a member, voters and standbys alike. */
  *replicators(term: number): Task<void> {
    const running = new Set<string>();
    while (this.replica.role === "leader" && this.log.term === term) {
      const wanted = new Set([...this.log.voters(), ...this.replica.hooks.otherNodes()]);
      wanted.delete(this.self);
      for (const id of wanted) {
        if (running.has(id)) continue;
        running.add(id);
        this.replica.followers.set(id, {
          next: this.log.lastIndex() + 1,
          match: 0,
          heardAt: -Infinity,
          wake: Csp.sliding(1),
        });
        const replication = this;
        Csp.go(this.env.scope, `replicate to ${id}`, function* () {
          yield* replication.replicate(id, term);
          running.delete(id);
        });
      }
      yield* EnvTools.sleep(this.env, Constants.heartbeatMs);
    }
    this.packedBase = undefined;
  }
  /** Brings one follower up and keeps it there; each append is a heartbeat. */
  private *replicate(id: string, term: number): Task<void> {
    while (this.replica.role === "leader" && this.log.term === term) {
      const follower = this.replica.followers.get(id);
      const address = this.replica.hooks.addressOf(id);
      if (!follower) return;
      if (!address) {
        if (!this.log.voters().includes(id) && !this.replica.hooks.otherNodes().includes(id))
          return void this.replica.followers.delete(id);
        yield* EnvTools.sleep(this.env, Constants.heartbeatMs);
        continue;
      }
      const content = this.contentFor(follower, this.lastIndexFor(id));
      const askedAt = this.env.mono();
      const response = Replication.needsPieces(content, (entry) => this.log.bytesOf(entry))
        ? yield* this.sendInPieces(id, follower, term, content)
        : yield* this.rpc.call<AppendResponse>(
            address,
            "group.append",
            { ...this.header(id), ...content } satisfies AppendRequest,
            Constants.appendTimeoutMs,
          );
      if (this.replica.role !== "leader" || this.log.term !== term) return;
      if (response.ok) {
        if (response.value.term > this.log.term) return void (yield* this.replica.stepDown(response.value.term, false));
        follower.heardAt = Math.max(follower.heardAt, askedAt);
        if (response.value.matched) {
          follower.match = Math.max(follower.match, response.value.match);
          follower.next = follower.match + 1;
          this.advance();
        } else follower.next = Math.max(1, Math.min(follower.next - 1, response.value.last + 1));
        if (follower.next <= this.lastIndexFor(id)) continue;
      }
      yield* EnvTools.takeWithin(
        this.env,
        follower.wake,
        response.ok ? Constants.heartbeatMs : Constants.heartbeatMs / 2,
      );
    }
  }
  /** What every append begins with. */
  private header(to: string): Pick<AppendRequest, "to" | "group" | "term" | "lead" | "commit"> {
    return { to, group: this.replica.groupId(), term: this.log.term, lead: this.self, commit: this.replica.commit };
  }
  /**
   * How far a follower is sent the log. One that is no voter gets committed entries only: a voter that held the entry of
   * its own removal, uncommitted, would have the longest log, and no voter of the former set could win without it.
   */
  private lastIndexFor(id: string): number {
    if (this.log.voters().includes(id)) return this.log.lastIndex();
    return Math.min(this.replica.commit, this.log.lastIndex());
  }
  /** What a follower needs next: the snapshot if the entry before is no longer here, and entries up to a bound in bytes. */
  private contentFor(follower: Follower, lastIndex: number): Content {
    const needsSnapshot = follower.next <= this.log.startIndex;
    const prevIndex = needsSnapshot ? this.log.baseIndex : follower.next - 1;
    const prevTerm = this.log.termAt(prevIndex) ?? 0;
    if (needsSnapshot) {
      const whole = { index: this.log.baseIndex, term: this.log.baseTerm, state: this.log.base };
      return { prevIndex, prevTerm, entries: [], whole };
    }
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (let at = prevIndex - this.log.startIndex; at < lastIndex - this.log.startIndex; at += 1) {
      bytes += this.log.bytesOf(this.log.entries[at]);
      if (entries.length > 0 && bytes > Constants.appendBytes) break;
      entries.push(this.log.entries[at]);
    }
    return { prevIndex, prevTerm, entries };
  }
  /** Entries stay within one message, unless the first of them alone is longer. */
  private static needsPieces(content: Content, bytesOf: (entry: LogEntry) => number): boolean {
    if (content.whole) return true;
    return content.entries.length === 1 && bytesOf(content.entries[0]) > Constants.appendBytes;
  }
  /** A snapshot is packed once for all followers. */
  private packed(content: Content): Packed {
    const base = content.whole?.state;
    if (!base) return Transfer.pack(content);
    if (this.packedBase?.base !== base) this.packedBase = { base, packed: Transfer.pack(content) };
    return this.packedBase.packed;
  }
  /**
   * Sends a long content in pieces, one under way at a time. Each piece is a heartbeat too, and short enough for that on a
   * slow link; after one that was lost, the follower's count of bytes tells where to go on.
   */
  private *sendInPieces(id: string, follower: Follower, term: number, content: Content): Task<Result<AppendResponse>> {
    this.transfers += 1;
    const transfer = `${this.self}-${term}-${this.transfers}`;
    // a follower whose log differs before the entries says so to the first piece; a snapshot stands for itself
    const place = content.whole
      ? { prevIndex: 0, prevTerm: 0 }
      : { prevIndex: content.prevIndex, prevTerm: content.prevTerm };
    const packed = this.packed(content);
    let length: number = Constants.appendBytes;
    let received = 0;
    let failures = 0;
    for (;;) {
      const address = this.replica.hooks.addressOf(id);
      if (!address) return Fault.fail("refused", "append", id, "no address");
      const piece = Transfer.piece(transfer, packed, received, length);
      const body = { ...this.header(id), ...place, entries: [], piece } satisfies AppendRequest;
      const askedAt = this.env.mono();
      const response = yield* this.rpc.call<AppendResponse>(address, "group.append", body, Constants.appendTimeoutMs);
      if (this.replica.role !== "leader" || this.log.term !== term) return response;
      if (!response.ok) {
        failures += 1;
        if (response.fault.tag === "invalid" || failures >= Constants.transferTries) return response;
        length = Math.max(Constants.pieceBytesMin, length / 2);
        yield* EnvTools.sleep(this.env, Constants.heartbeatMs / 2);
        continue;
      }
      if (response.value.term > term) return response;
      follower.heardAt = askedAt;
      if (response.value.received === undefined) return response;
      failures = 0;
      received = response.value.received;
      length = Math.min(Constants.appendBytes, length * 2);
    }
  }
  /** Commits what a majority of the newest voters has synced, in this node's own term. */
  private advance(): void {
    const matches = this.log
      .voters()
      .map((id) => (id === this.self ? this.log.synced : (this.replica.followers.get(id)?.match ?? 0)))
      .sort((left, right) => right - left);
    const majorityIndex = matches[this.replica.majority() - 1];
    if (majorityIndex > this.replica.commit && this.log.termAt(majorityIndex) === this.log.term) {
      this.replica.commit = majorityIndex;
      this.env.point(33);
      this.replica.applyCommitted();
      for (const follower of this.replica.followers.values()) Csp.offer(follower.wake, true);
      if (!this.replica.state.voters.includes(this.self)) this.replica.resign();
    }
  }
}
