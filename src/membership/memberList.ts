import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Environment } from "../runtime/env";
import { MemberDiffResponse, MemberVersion } from "./gossipMessages";
import { isActive, isActiveRank, isMember, Member, MemberState, Program, rankOf } from "./member";

interface MemberRecord {
  member: Member;
  /** When the record changed last, monotonic ms. */
  changedAt: number;
  /** How often the record was piggybacked on a datagram since then. */
  sentCount: number;
}

const STATE_EVENTS: Record<MemberState, number> = { alive: 1101, suspect: 1102, dead: 1103, left: 1104 };

const bucketOf = (id: string): number => Hash.number(id) % Constants.memberBuckets;

/** Whether a version overrides another: by the greater incarnation, then by the state of the higher rank. */
const overrides = ([incarnation, rank]: MemberVersion, [otherIncarnation, otherRank]: MemberVersion): boolean =>
  incarnation > otherIncarnation || (incarnation === otherIncarnation && rank > otherRank);

const versionOf = (member: Member): MemberVersion => [member.incarnation, rankOf(member.state)];

/** The members of the cluster as this one knows them, and the rules by which a newer record replaces an older. */
export class MemberList {
  private readonly records = new Map<string, MemberRecord>();
  private readonly listeners: ((changed?: Member) => void)[] = [];
  /** Active members by id; undefined after a change. */
  private active: Member[] | undefined;
  /** Checksums over the active members, one for each bucket of ids; undefined after a change. */
  private checksums: number[] | undefined;

  constructor(
    private readonly env: Environment,
    private readonly self: Member,
  ) {
    this.records.set(self.id, { member: self, changedAt: env.monotonicMs(), sentCount: 0 });
  }

  /** Calls the listener after every change, with the member that it is about. */
  onChange(listener: (changed?: Member) => void): void {
    this.listeners.push(listener);
  }

  /** Members that are alive or suspected, in order of their ids. */
  alive(program?: Program): Member[] {
    this.active ??= this.all()
      .filter((member) => member.state === "alive" || member.state === "suspect")
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    return program ? this.active.filter((member) => member.program === program) : this.active.slice();
  }

  /** All that are remembered, the dead among them. */
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

  /** One checksum for each bucket of ids: equal if two members know the same incarnations as active. */
  bucketChecksums(): number[] {
    if (this.checksums) return this.checksums;
    const checksums = Array<number>(Constants.memberBuckets).fill(0);
    for (const member of this.all())
      if (isActive(member)) checksums[bucketOf(member.id)] ^= Hash.number(`${member.id}|${member.incarnation}`);
    this.checksums = checksums;
    return checksums;
  }

  /** Versions of the members in some buckets, the dead among them. */
  versions(buckets: readonly number[]): Record<string, MemberVersion> {
    const inBuckets = this.all().filter((member) => buckets.includes(bucketOf(member.id)));
    return Object.fromEntries(inBuckets.map((member): [string, MemberVersion] => [member.id, versionOf(member)]));
  }

  /** What another member lacks of those in some buckets, and ids of what is newer there. */
  diff(buckets: readonly number[], theirs: Record<string, MemberVersion>): MemberDiffResponse {
    const ours = this.versions(buckets);
    const lacks = (known: Record<string, MemberVersion>, id: string, version: MemberVersion): boolean =>
      known[id] ? overrides(version, known[id]) : isActiveRank(version[1]);
    const updates = Object.keys(ours).filter((id) => lacks(theirs, id, ours[id]));
    const want = Object.keys(theirs).filter((id) => lacks(ours, id, theirs[id]));
    return { updates: this.byId(updates), want };
  }

  /**
   * Takes in a record of another member's; an older one changes nothing.
   * @param isFirstHand whether it comes from the member that it is about
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

  /** The accused incarnation becomes suspect, unless the member has refuted that or is not alive. */
  suspect(accused: Member): void {
    const record = this.records.get(accused.id);
    if (record?.member.state !== "alive" || record.member.incarnation !== accused.incarnation) return;
    this.setState(record, "suspect");
  }

  /** Passes a suspicion on once more, so that its subject learns of it and refutes. */
  resendSuspicion(id: string): void {
    const record = this.records.get(id);
    if (record?.member.state === "suspect") record.sentCount = 0;
  }

  /** Suspects become dead after their time, and the dead are forgotten after theirs. */
  expire(): void {
    for (const [id, record] of this.records) {
      const ageMs = this.env.monotonicMs() - record.changedAt;
      if (record.member.state === "suspect" && ageMs > Constants.suspicionTimeoutMs) this.setState(record, "dead");
      else if (!isActive(record.member) && ageMs > Constants.deadMemberRetentionMs) this.records.delete(id);
    }
  }

  /** Starts the time of every suspicion anew. */
  restartSuspicions(): void {
    for (const record of this.records.values())
      if (record.member.state === "suspect") record.changedAt = this.env.monotonicMs();
  }

  /** Records to piggyback on the next datagram: those that were sent least, each a limited number of times. */
  takeUpdates(): Member[] {
    const due = [...this.records.values()]
      .filter((record) => record.sentCount < Constants.piggybackTransmissions)
      .sort((left, right) => left.sentCount - right.sentCount)
      .slice(0, Constants.piggybackMaxUpdates);
    for (const record of due) record.sentCount += 1;
    return due.map((record) => record.member);
  }

  /** A rumour that we aren't alive is overridden by a higher incarnation. */
  private refute(rumour: Member): void {
    if (rumour.state === "alive" || this.self.state !== "alive" || rumour.incarnation < this.self.incarnation) return;
    this.self.incarnation = rumour.incarnation + 1;
    this.changed(this.self.id);
  }

  private mergeKnown(record: MemberRecord, update: Member, isFirstHand: boolean): void {
    const known = record.member;
    // A member that left comes back only by its own start under a higher incarnation, not by late rumours.
    if (known.state === "left" && update.state !== "alive") return;
    if (!overrides(versionOf(update), versionOf(known))) {
      const isDefence = isFirstHand && update.state === "alive" && update.incarnation >= known.incarnation;
      if (isDefence) this.resendSuspicion(update.id);
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

  /** A machine that lost its data comes back as a new member at the old address: the old one is dead. */
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
