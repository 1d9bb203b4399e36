import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Environment } from "../runtime/env";
import { FactMessage, FactRenewal, FactVersion } from "./gossipMessages";

/** A fact about the cluster that is spread by gossip, in the version that this member knows. */
export interface GossipFact {
  readonly key: string;
  /** Id of the member that published this version. */
  readonly owner: string;
  /** Wall clock of its publication, ms, but always greater than the previous version. */
  readonly version: number;
  readonly value: unknown;
  /** Whether this is a tombstone: the fact is removed permanently, and `value` is its last value. */
  readonly removed: boolean;
}

/** A fact with the fields that are needed to pass it on as a patch to its base version. */
interface StoredFact extends GossipFact {
  /** Version at which the value was published in full. */
  readonly baseVersion: number;
  readonly baseValue: unknown;
  /** Fields that differ from the base value. */
  readonly patch: Record<string, unknown>;
  /** Time of publication on this process's monotonic clock, ms. */
  readonly publishedAt: number;
  readonly leaseMs: number;
  readonly checksum: number;
}

/** A new version of a fact before it is applied. */
type FactUpdate = Omit<StoredFact, "value" | "checksum" | "publishedAt">;

/** How the next push carries a fact: in full, or as a patch to its base version. */
type PushForm = "full" | "renewal";

/** Callbacks of the store. */
export interface FactStoreListener {
  /** Called after a new version of a fact was applied. */
  applied(): void;
  /** Called when the lease of a fact has expired. */
  expired(): void;
}

const ENDPOINT_PREFIX = "replica/";

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/** Returns the fields that differ from the base value; undefined if the full value is about as short. */
function changedFields(base: unknown, value: unknown): Record<string, unknown> | undefined {
  if (!isObject(base) || !isObject(value)) return undefined;
  const names = Object.keys(value);
  if (Object.keys(base).some((name) => !(name in value))) return undefined;
  const changed = names.filter(
    (name) => base[name] !== value[name] && JSON.stringify(base[name]) !== JSON.stringify(value[name]),
  );
  if (changed.length * 2 > names.length) return undefined;
  return Object.fromEntries(changed.map((name) => [name, value[name]]));
}

/** Checksum by which two members compare a fact; it is equal if both can apply the same renewals. */
const checksumOf = (fact: FactUpdate): number => Hash.number(`${fact.key}|${fact.removed ? "gone" : fact.baseVersion}`);

const bucketOf = (key: string): number => Hash.number(key) % Constants.gossipBuckets;

const versionOf = (fact: StoredFact): FactVersion => [fact.baseVersion, fact.version, fact.removed ? 1 : 0];

/** Versions with the same base need no repair, because the next renewal brings them up to date. */
function needsRepair([baseVersion, , removed]: FactVersion, [otherBase, , otherRemoved]: FactVersion): boolean {
  return removed !== otherRemoved || (removed === 0 && baseVersion !== otherBase);
}

/** A tombstone is newer than any version. */
function isNewer([, version, removed]: FactVersion, [, otherVersion, otherRemoved]: FactVersion): boolean {
  return removed > otherRemoved || (removed === otherRemoved && version > otherVersion);
}

/**
 * The facts that this member knows: a map from key to the newest version, with leases and tombstones. The greater of
 * two versions wins, and a tombstone wins over any version. A checksum per bucket shows where the facts of two members
 * differ.
 */
export class FactStore {
  private readonly facts = new Map<string, StoredFact>();
  /** Sorted keys; undefined after a fact was added or deleted. */
  private sortedKeys: string[] | undefined;
  /** Keys of the facts applied since the last push. */
  private readonly unsent = new Map<string, PushForm>();
  /** One checksum per bucket, combined from the checksums of its facts. */
  readonly bucketChecksums: number[] = Array<number>(Constants.gossipBuckets).fill(0);

  constructor(
    private readonly env: Environment,
    private readonly ownId: string,
    private readonly listener: FactStoreListener,
  ) {}

  find(key: string): GossipFact | undefined {
    return this.facts.get(key);
  }

  /** Time since the known version was published, ms; Infinity for an unknown key. */
  ageMs(key: string): number {
    const known = this.facts.get(key);
    return known ? this.env.monotonicMs() - known.publishedAt : Infinity;
  }

  /** Facts with an unexpired lease, in the order of their keys. */
  live(prefix: string): GossipFact[] {
    const now = this.env.monotonicMs();
    const liveFacts: GossipFact[] = [];
    for (const key of (this.sortedKeys ??= [...this.facts.keys()].sort())) {
      if (!key.startsWith(prefix)) continue;
      const fact = this.facts.get(key)!;
      if (!fact.removed && now - fact.publishedAt < fact.leaseMs) liveFacts.push(fact);
    }
    return liveFacts;
  }

  /** Publishes a version of this member's own, as a patch to the base version if possible, otherwise in full. */
  publish(key: string, value: unknown, leaseMs: number, inFull: boolean): void {
    const known = this.facts.get(key);
    const version = this.nextVersion(known);
    const now = this.env.monotonicMs();
    const renewable =
      known && !known.removed && !inFull && known.leaseMs === leaseMs && now - known.publishedAt < leaseMs;
    const patch = renewable ? changedFields(known.baseValue, value) : undefined;
    const versionFields =
      known && patch
        ? { baseVersion: known.baseVersion, baseValue: known.baseValue, patch }
        : { baseVersion: version, baseValue: value, patch: {} };
    this.apply({ key, owner: this.ownId, version, removed: false, ...versionFields, leaseMs });
  }

  /** Replaces the fact by a tombstone with this value. */
  remove(key: string, value: unknown = this.facts.get(key)?.value ?? null): void {
    const version = this.nextVersion(this.facts.get(key));
    this.apply({
      key,
      owner: this.ownId,
      version,
      removed: true,
      baseVersion: version,
      baseValue: value,
      patch: {},
      leaseMs: Constants.tombstoneRetentionMs,
    });
  }

  /** Applies a fact from another member; returns false if it is not newer than the known version. */
  applyMessage(message: FactMessage): boolean {
    const update: FactUpdate = {
      key: message.key,
      owner: message.owner,
      version: message.version,
      removed: message.gone,
      baseVersion: message.base,
      baseValue: message.whole,
      patch: message.patch,
      leaseMs: message.grantMs,
    };
    return this.apply(update, message.ageMs);
  }

  /** Applies a patch if its base version is the known one; otherwise anti-entropy repairs the difference. */
  applyRenewal([key, owner, version, baseVersion, patch, ageMs]: FactRenewal): void {
    const known = this.facts.get(key);
    if (!known || known.removed || known.baseVersion !== baseVersion) return;
    const { baseValue, leaseMs } = known;
    this.apply({ key, owner, version, removed: false, baseVersion, baseValue, patch, leaseMs }, ageMs);
  }

  /** Reports expired leases, and deletes facts and tombstones that are older than the retention of tombstones. */
  expire(): void {
    const now = this.env.monotonicMs();
    for (const fact of this.facts.values()) {
      const ageMs = now - fact.publishedAt;
      if (ageMs <= (fact.removed ? Constants.tombstoneRetentionMs : fact.leaseMs)) continue;
      if (fact.removed) {
        this.deleteFact(fact);
        continue;
      }
      if (fact.key.startsWith(ENDPOINT_PREFIX)) this.env.log(1203, { replica: fact.key });
      // An expired fact is retained, so that an older version from another member is not accepted as a new fact.
      if (ageMs > Constants.tombstoneRetentionMs) this.deleteFact(fact);
      this.listener.expired();
    }
  }

  get hasUnsent(): boolean {
    return this.unsent.size > 0;
  }

  /** Returns the facts applied since the last call. */
  takeUnsent(): { facts: FactMessage[]; renewed: FactRenewal[] } {
    const taken = { facts: [] as FactMessage[], renewed: [] as FactRenewal[] };
    for (const [key, form] of this.unsent) {
      const fact = this.facts.get(key)!;
      if (form === "full") taken.facts.push(this.messageOf(fact));
      else taken.renewed.push(this.renewalOf(fact));
    }
    this.unsent.clear();
    return taken;
  }

  /** Returns the facts and tombstones of these keys as messages. */
  messages(keys: readonly string[]): FactMessage[] {
    return keys.flatMap((key) => this.facts.get(key) ?? []).map((fact) => this.messageOf(fact));
  }

  /** Returns the known versions of facts that are overdue for renewal although their lease has not expired. */
  staleVersions(): Record<string, number> {
    const now = this.env.monotonicMs();
    const stale: Record<string, number> = {};
    let count = 0;
    for (const { key, version, removed, publishedAt, leaseMs } of this.facts.values()) {
      const ageMs = now - publishedAt;
      if (removed || ageMs < leaseMs * Constants.staleLeaseShare || ageMs > leaseMs) continue;
      stale[key] = version;
      count += 1;
      if (count >= Constants.staleFactsMax) break;
    }
    return stale;
  }

  /** Returns renewals of the facts that are known in a newer version than the given one. */
  renewalsSince(versions: Record<string, number>): FactRenewal[] {
    return Object.keys(versions)
      .flatMap((key) => this.facts.get(key) ?? [])
      .filter((fact) => !fact.removed && fact.version > versions[fact.key])
      .map((fact) => this.renewalOf(fact));
  }

  /** Returns the versions of all facts in these buckets. */
  versions(buckets: readonly number[]): Record<string, FactVersion> {
    return Object.fromEntries(
      this.inBuckets(buckets).map((fact): [string, FactVersion] => [fact.key, versionOf(fact)]),
    );
  }

  /** Compares the facts in these buckets: returns those that the other member lacks, and keys of those newer there. */
  diff(buckets: readonly number[], theirs: Record<string, FactVersion>): { facts: FactMessage[]; want: string[] } {
    const ours = new Map(this.inBuckets(buckets).map((fact) => [fact.key, fact]));
    const supersedes = (left: FactVersion, right: FactVersion): boolean =>
      needsRepair(left, right) && isNewer(left, right);
    const lacking = [...ours.values()].filter(
      (fact) => !theirs[fact.key] || supersedes(versionOf(fact), theirs[fact.key]),
    );
    const want = Object.keys(theirs).filter((key) => {
      const fact = ours.get(key);
      return !fact || supersedes(theirs[key], versionOf(fact));
    });
    return { facts: lacking.map((fact) => this.messageOf(fact)), want };
  }

  private nextVersion(known: StoredFact | undefined): number {
    return Math.max(Math.floor(this.env.wallClockMs()), (known?.version ?? 0) + 1);
  }

  private apply(update: FactUpdate, ageMs = 0): boolean {
    const known = this.facts.get(update.key);
    if (!FactStore.isApplicable(update, ageMs, known)) return false;
    const patched = Object.keys(update.patch).length > 0;
    const value = patched ? { ...(update.baseValue as object), ...update.patch } : update.baseValue;
    const publishedAt = this.env.monotonicMs() - ageMs;
    const fact: StoredFact = { ...update, value, publishedAt, checksum: checksumOf(update) };
    this.bucketChecksums[bucketOf(fact.key)] ^= (known?.checksum ?? 0) ^ fact.checksum;
    if (!known) this.sortedKeys = undefined;
    this.facts.set(fact.key, fact);
    const inFull = known?.checksum !== fact.checksum || this.unsent.get(fact.key) === "full";
    this.unsent.set(fact.key, inFull ? "full" : "renewal");
    this.listener.applied();
    return true;
  }

  private static isApplicable(update: FactUpdate, ageMs: number, known: StoredFact | undefined): boolean {
    // Every member may have deleted a fact of this age, also its tombstone, so it must not be restored.
    if (!known) return !(ageMs > Constants.tombstoneRetentionMs);
    if (known.removed !== update.removed) return update.removed;
    if (update.version !== known.version) return update.version > known.version;
    return update.owner > known.owner;
  }

  private deleteFact(fact: StoredFact): void {
    this.bucketChecksums[bucketOf(fact.key)] ^= fact.checksum;
    this.sortedKeys = undefined;
    this.facts.delete(fact.key);
    this.unsent.delete(fact.key);
  }

  private inBuckets(buckets: readonly number[]): StoredFact[] {
    const wanted = new Set(buckets);
    return [...this.facts.values()].filter((fact) => wanted.has(bucketOf(fact.key)));
  }

  private messageOf(fact: StoredFact): FactMessage {
    return {
      key: fact.key,
      owner: fact.owner,
      version: fact.version,
      gone: fact.removed,
      base: fact.baseVersion,
      whole: fact.baseValue,
      patch: fact.patch,
      grantMs: fact.leaseMs,
      ageMs: this.roundedAgeMs(fact),
    };
  }

  private renewalOf(fact: StoredFact): FactRenewal {
    return [fact.key, fact.owner, fact.version, fact.baseVersion, fact.patch, this.roundedAgeMs(fact)];
  }

  private roundedAgeMs(fact: StoredFact): number {
    return Math.max(0, Math.round(this.env.monotonicMs() - fact.publishedAt));
  }
}
