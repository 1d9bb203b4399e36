import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Environment } from "../runtime/env";
import { MemberDiffResponse, MemberVersion } from "./gossipMessages";
import { isActive, isActiveRank, isMember, Member, MemberState, Program, rankOf } from "./member";

interface MemberRecord {
  member: Member;
  /** Time of the record's last change, monotonic ms. */
  changedAt: number;
  /** Number of datagrams that have carried the record since then. */
  sentCount: number;
}

const STATE_EVENTS: Record<MemberState, number> = { alive: 1101, suspect: 1102, dead: 1103, left: 1104 };

const bucketOf = (id: string): number => Hash.number(id) % Constants.memberBuckets;

/** A version overrides another by a greater incarnation, or by a higher rank within the same incarnation. */
const overrides = ([incarnation, rank]: MemberVersion, [otherIncarnation, otherRank]: MemberVersion): boolean =>
  incarnation > otherIncarnation || (incarnation === otherIncarnation && rank > otherRank);

const versionOf = (member: Member): MemberVersion => [member.incarnation, rankOf(member.state)];

/** The members of the cluster as this member knows them, and the rules by which records override one another. */
export class MemberList {
  private readonly records = new Map<string, MemberRecord>();
  private readonly listeners: ((changed?: Member) => void)[] = [];
  /** Active members in the order of their ids; undefined after a change. */
  private active: Member[] | undefined;
  /** One checksum per bucket of ids, over the active members; undefined after a change. */
  private checksums: number[] | undefined;

  constructor(
    private readonly env: Environment,
    private readonly self: Member,
  ) {
    this.records.set(self.id, { member: self, changedAt: env.monotonicMs(), sentCount: 0 });
  }

  /** Calls the listener with the changed member after every change. */
  onChange(listener: (changed?: Member) => void): void {
    this.listeners.push(listener);
  }

  /** Members that are alive or suspected, in the order of their ids. */
  alive(program?: Program): Member[] {
    this.active ??= this.all()
      .filter((member) => member.state === "alive" || member.state === "suspect")
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    return program ? this.active.filter((member) => member.program === program) : this.active.slice();
  }

  /** All known members, including those that are dead or have left. */
  all(): Member[] {
    return [...this.records.values()].map((record) => record.member);
  }

  find(id: string): Member | undefined {
    return this.records.get(id)?.member;
  }

  byId(ids: readonly string[]): Member[] {
    return ids.flatMap((id) => this.find(id) ?? []);
  }

  /** Time since the member's record changed, ms; Infinity for an unknown id. */
  stateAgeMs(id: string): number {
    const record = this.records.get(id);
    return record ? this.env.monotonicMs() - record.changedAt : Infinity;
  }

  /** One checksum per bucket of ids; it is equal at two members that know the same incarnations as active. */
  bucketChecksums(): number[] {
    if (this.checksums) return this.checksums;
    const checksums = Array<number>(Constants.memberBuckets).fill(0);
    for (const member of this.all())
      if (isActive(member)) checksums[bucketOf(member.id)] ^= Hash.number(`${member.id}|${member.incarnation}`);
    this.checksums = checksums;
    return checksums;
  }

  /** Versions of all known members in these buckets, in any state. */
  versions(buckets: readonly number[]): Record<string, MemberVersion> {
    const inBuckets = this.all().filter((member) => buckets.includes(bucketOf(member.id)));
    return Object.fromEntries(inBuckets.map((member): [string, MemberVersion] => [member.id, versionOf(member)]));
  }

  /** Compares the members in these buckets: returns those that the other side lacks, and ids of those newer there. */
  diff(buckets: readonly number[], theirs: Record<string, MemberVersion>): MemberDiffResponse {
    const ours = this.versions(buckets);
    const lacks = (known: Record<string, MemberVersion>, id: string, version: MemberVersion): boolean =>
      known[id] ? overrides(version, known[id]) : isActiveRank(version[1]);
    const updates = Object.keys(ours).filter((id) => lacks(theirs, id, ours[id]));
    const want = Object.keys(theirs).filter((id) => lacks(ours, id, theirs[id]));
    return { updates: this.byId(updates), want };
  }

  /**
   * Merges a record from another member; an older one changes nothing.
   * @param isFirstHand whether the record comes from the member that it describes
   */
  merge(update: Member, isFirstHand: boolean): void {
    if (!isMember(update)) return;
    if (update.id === this.self.id) return this.refute(update);
    const record = this.records.get(update.id);
    if (record) this.mergeKnown(record, update, isFirstHand);
    else this.add(update);
  }

  /** Marks this member as having left. */
  leave(): void {
    this.self.state = "left";
    this.self.incarnation += 1;
    this.changed(this.self.id);
  }

  /** Marks a member as suspect, unless it is not alive or has a different incarnation by now. */
  suspect(target: Member): void {
    const record = this.records.get(target.id);
    if (record?.member.state !== "alive" || record.member.incarnation !== target.incarnation) return;
    this.setState(record, "suspect");
  }

  /** Piggybacks a suspicion again, so that the suspect learns of it and can refute it. */
  resendSuspicion(id: string): void {
    const record = this.records.get(id);
    if (record?.member.state === "suspect") record.sentCount = 0;
  }

  /** Marks suspects as dead after the suspicion time-out, and deletes inactive members after their retention. */
  expire(): void {
    for (const [id, record] of this.records) {
      const ageMs = this.env.monotonicMs() - record.changedAt;
      if (record.member.state === "suspect" && ageMs > Constants.suspicionTimeoutMs) this.setState(record, "dead");
      else if (!isActive(record.member) && ageMs > Constants.deadMemberRetentionMs) this.records.delete(id);
    }
  }

  /** Restarts the time-out of every suspicion. */
  restartSuspicions(): void {
    for (const record of this.records.values())
      if (record.member.state === "suspect") record.changedAt = this.env.monotonicMs();
  }

  /** Returns the records to piggyback on the next datagram: those sent least often, each a limited number of times. */
  takeUpdates(): Member[] {
    const due = [...this.records.values()]
      .filter((record) => record.sentCount < Constants.piggybackTransmissions)
      .sort((left, right) => left.sentCount - right.sentCount)
      .slice(0, Constants.piggybackMaxUpdates);
    for (const record of due) record.sentCount += 1;
    return due.map((record) => record.member);
  }

  /** Refutes a record that says that this member is not alive, by a higher incarnation. */
  private refute(claim: Member): void {
    if (claim.state === "alive" || this.self.state !== "alive" || claim.incarnation < this.self.incarnation) return;
    this.self.incarnation = claim.incarnation + 1;
    this.changed(this.self.id);
  }

  private mergeKnown(record: MemberRecord, update: Member, isFirstHand: boolean): void {
    const known = record.member;
    // A member that left becomes active only by a restart with a higher incarnation, not by delayed records.
    if (known.state === "left" && update.state !== "alive") return;
    if (!overrides(versionOf(update), versionOf(known))) {
      const isRefutation = isFirstHand && update.state === "alive" && update.incarnation >= known.incarnation;
      if (isRefutation) this.resendSuspicion(update.id);
      return;
    }
    if (known.state !== update.state) this.logState(update);
    record.member = update;
    this.changed(update.id);
  }

  private add(member: Member): void {
    if (!isActive(member)) {
      this.records.set(member.id, {
        member,
        changedAt: this.env.monotonicMs(),
        sentCount: Constants.piggybackTransmissions,
      });
      return;
    }
    this.replaceAt(member.address);
    this.records.set(member.id, { member, changedAt: this.env.monotonicMs(), sentCount: 0 });
    this.logState(member);
    this.changed(member.id);
  }

  /** A machine that lost its data returns as a new member at the old address, so the old member is dead. */
  private replaceAt(address: string): void {
    for (const record of this.records.values()) {
      const { member } = record;
      if (member.address === address && member.id !== this.self.id && isActive(member)) this.setState(record, "dead");
    }
  }

  private setState(record: MemberRecord, state: MemberState): void {
    record.member = { ...record.member, state };
    this.logState(record.member);
    this.changed(record.member.id);
  }

  private changed(id: string): void {
    const record = this.records.get(id);
    if (record) {
      record.sentCount = 0;
      record.changedAt = this.env.monotonicMs();
    }
    this.active = undefined;
    this.checksums = undefined;
    for (const listener of this.listeners) listener(record?.member);
  }

  private logState(member: Member): void {
    this.env.log(STATE_EVENTS[member.state], {
      member: member.id,
      program: member.program,
      address: member.address,
    });
  }
}
