import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Environment } from "../runtime/env";
import { FactMessage, FactRenewal, FactVersion } from "./gossipMessages";

/** One fact of the cluster under its key, with the version that this member knows. */
export interface GossipFact {
  readonly key: string;
  /** Id of the member that published this version. */
  readonly owner: string;
  /** Wall clock ms of its publication, but always above the version before. */
  readonly version: number;
  readonly value: unknown;
  /** A tombstone: the fact is removed for good, and `value` is its last one. */
  readonly removed: boolean;
}

/** A fact with what is needed to pass it on as a change to its base version. */
interface StoredFact extends GossipFact {
  /** Version at which the value was published in full. */
  readonly baseVersion: number;
  readonly baseValue: unknown;
  /** Fields that differ from the base value. */
  readonly patch: Record<string, unknown>;
  /** When it was published, monotonic ms of this process. */
  readonly publishedAt: number;
  readonly leaseMs: number;
  readonly checksum: number;
}

/** A new version of a fact before it is applied. */
type FactUpdate = Omit<StoredFact, "value" | "checksum" | "publishedAt">;

/** How the next push carries a fact: in full, or as a patch to its base version. */
type PushForm = "full" | "renewal";

/** Called by the store. */
export interface FactStoreListener {
  /** A new version of a fact was applied. */
  applied(): void;
  /** The lease of a fact has run out. */
  expired(): void;
}

const ENDPOINT_PREFIX = "replica/";

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/** Fields in which the value differs from its base; undefined if the value in full is about as short. */
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

/** What two members compare: equal if both can apply the same renewals. */
const checksumOf = (fact: FactUpdate): number => Hash.number(`${fact.key}|${fact.removed ? "gone" : fact.baseVersion}`);

const bucketOf = (key: string): number => Hash.number(key) % Constants.gossipBuckets;

const versionOf = (fact: StoredFact): FactVersion => [fact.baseVersion, fact.version, fact.removed ? 1 : 0];

/** Versions of one base need no repair: the next renewal does that. */
function needsRepair([baseVersion, , removed]: FactVersion, [otherBase, , otherRemoved]: FactVersion): boolean {
  return removed !== otherRemoved || (removed === 0 && baseVersion !== otherBase);
}

/** A tombstone is newer than any version. */
function isNewer([, version, removed]: FactVersion, [, otherVersion, otherRemoved]: FactVersion): boolean {
  return removed > otherRemoved || (removed === otherRemoved && version > otherVersion);
}

/**
 * The facts that this member knows: a map from key to the newest version, with leases and tombstones. Of two versions
 * the greater wins, a tombstone over both. Checksums by bucket show which facts differ from another member's.
 */
export class FactStore {
  private readonly facts = new Map<string, StoredFact>();
  /** Keys in order; undefined after a fact has come or gone. */
  private sortedKeys: string[] | undefined;
  /** Facts applied since the last push. */
  private readonly unsent = new Map<string, PushForm>();
  /** One for each bucket, over the checksums of its facts. */
  readonly bucketChecksums: number[] = Array<number>(Constants.gossipBuckets).fill(0);

  constructor(
    private readonly env: Environment,
    private readonly ownId: string,
    private readonly listener: FactStoreListener,
  ) {}

  find(key: string): GossipFact | undefined {
    return this.facts.get(key);
  }

  /** Time since the publication of the version that is known, ms; Infinity for an unknown key. */
  ageMs(key: string): number {
    const known = this.facts.get(key);
    return known ? this.env.monotonicMs() - known.publishedAt : Infinity;
  }

  /** Facts whose lease runs, in order of their keys. */
  live(prefix: string): GossipFact[] {
    const now = this.env.monotonicMs();
    const found: GossipFact[] = [];
    for (const key of (this.sortedKeys ??= [...this.facts.keys()].sort())) {
      if (!key.startsWith(prefix)) continue;
      const fact = this.facts.get(key)!;
      if (!fact.removed && now - fact.publishedAt < fact.leaseMs) found.push(fact);
    }
    return found;
  }

  /** Publishes a version of our own: as a patch to its base where it may be, in full otherwise. */
  publish(key: string, value: unknown, leaseMs: number, inFull: boolean): void {
    const known = this.facts.get(key);
    const version = this.nextVersion(known);
    const now = this.env.monotonicMs();
    const renewable =
      known && !known.removed && !inFull && known.leaseMs === leaseMs && now - known.publishedAt < leaseMs;
    const patch = renewable ? changedFields(known.baseValue, value) : undefined;
    const layers =
      known && patch
        ? { baseVersion: known.baseVersion, baseValue: known.baseValue, patch }
        : { baseVersion: version, baseValue: value, patch: {} };
    this.apply({ key, owner: this.ownId, version, removed: false, ...layers, leaseMs });
  }

  /** Puts a tombstone in place of the fact; `value` is what it shows from now on. */
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

  /** Applies another member's fact; false if it is no newer than ours. */
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

  /** Applies a patch if its base version is the one known here; otherwise digests find and repair the difference. */
  applyRenewal([key, owner, version, baseVersion, patch, ageMs]: FactRenewal): void {
    const known = this.facts.get(key);
    if (!known || known.removed || known.baseVersion !== baseVersion) return;
    const { baseValue, leaseMs } = known;
    this.apply({ key, owner, version, removed: false, baseVersion, baseValue, patch, leaseMs }, ageMs);
  }

  /** Reports leases that have run out, and forgets what is older than a tombstone must be remembered. */
  expire(): void {
    const now = this.env.monotonicMs();
    for (const fact of this.facts.values()) {
      const ageMs = now - fact.publishedAt;
      if (ageMs <= (fact.removed ? Constants.tombstoneRetentionMs : fact.leaseMs)) continue;
      if (fact.removed) {
        this.forget(fact);
        continue;
      }
      if (fact.key.startsWith(ENDPOINT_PREFIX)) this.env.log(1203, { replica: fact.key });
      // Remembered past its lease, so that an older version of it elsewhere isn't taken for a new fact.
      if (ageMs > Constants.tombstoneRetentionMs) this.forget(fact);
      this.listener.expired();
    }
  }

  get hasUnsent(): boolean {
    return this.unsent.size > 0;
  }

  /** Facts applied since the last call. */
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

  /** The facts of these keys, tombstones among them, as messages. */
  messages(keys: readonly string[]): FactMessage[] {
    return keys.flatMap((key) => this.facts.get(key) ?? []).map((fact) => this.messageOf(fact));
  }

  /** Facts of other members' that should have been renewed by now though their lease runs, with their versions. */
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

  /** Renewals of facts for which a newer version than the given one is known. */
  renewalsSince(versions: Record<string, number>): FactRenewal[] {
    return Object.keys(versions)
      .flatMap((key) => this.facts.get(key) ?? [])
      .filter((fact) => !fact.removed && fact.version > versions[fact.key])
      .map((fact) => this.renewalOf(fact));
  }

  /** Versions of all facts in some buckets. */
  versions(buckets: readonly number[]): Record<string, FactVersion> {
    return Object.fromEntries(
      this.inBuckets(buckets).map((fact): [string, FactVersion] => [fact.key, versionOf(fact)]),
    );
  }

  /** What another member lacks of the facts in some buckets, and keys of what is newer there. */
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
    // By that age the others have forgotten an unknown fact, as we have: it must not come back.
    if (!known) return !(ageMs > Constants.tombstoneRetentionMs);
    if (known.removed !== update.removed) return update.removed;
    if (update.version !== known.version) return update.version > known.version;
    return update.owner > known.owner;
  }

  private forget(fact: StoredFact): void {
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
