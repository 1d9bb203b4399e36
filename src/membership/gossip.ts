import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Hash } from "../common/hash";
import { Rpc } from "../rpc/rpc";
import { ConfigurationPatch } from "../controlState/configurationPatch";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { GroupRecovery } from "../controlState/groupRecovery";
import { Member } from "./member";
import { Membership, MemberVersion } from "./membership";

/** One fact with an owner and a version; no value means it has ended for good. */
export type GossipFact = { key: string; owner: string; version: number; value: unknown; gone: boolean };
/** A value that changes a little at a time: a base, and what of it is otherwise by now. */
type Layers = { base: number; whole: unknown; patch: Record<string, unknown> };
type Held = GossipFact & Layers & { heardAt: number; grantMs: number; mark: number };
type Have = { have: number; group: string; manifest: number };
/** From one version of the manifest to the next, item by item. */
type Step = { from: number; to: number; patch: ConfigurationPatch };
type FrameTold = Omit<ControlSnapshot, "manifest"> & { manifest?: ControlSnapshot["manifest"]; steps?: Step[] };
/** A fact on its way carries its age, so that passing it on never makes it younger. */
type Told = Omit<GossipFact, "value"> & Layers & { grantMs: number; ageMs: number };
/** A newer version of a fact whose base the other will have: only what is otherwise goes along. */
type Renewed = [
  key: string,
  owner: string,
  version: number,
  base: number,
  patch: Record<string, unknown>,
  ageMs: number,
];
type Push = { facts: Told[]; renewed: Renewed[]; frameIndex: number; group?: string };
type Standing = [base: number, version: number, gone: number];
type Digest = { sum: number; memberSum: number; stale: Record<string, number>; frameIndex: number; group?: string };
type Compared = { frameIndex: number; renewed: Renewed[]; sums?: number[]; memberSums?: number[] }; // no sums: nothing differs

/**
 * News passed to a few members, gaps mended by digests. The control frame travels with it:
 * only its index is told, and who has less fetches it.
 *
 * @example
 * const news = new News(env, rpc, membership);
 * news.start();
 * news.tell("replica/r1/x", { address: "127.0.0.1:9000" }, Constants.replicaGrantMs, true);
 */
export class Gossip {
  private facts = new Map<string, Held>();
  private order: string[] | undefined; // keys in order, until a fact comes or goes
  private readonly sums: number[] = Array(Constants.gossipBuckets).fill(0); // of the marks of the facts in each bucket
  private fresh = new Map<string, "whole" | "renewed">();
  private stirred: Chan<true> = Csp.sliding(1); // there is something to tell
  private wake: Chan<true> = Csp.sliding(1); // and it is urgent
  private fetching = false;
  private turn: string[] = [];
  private steps: Step[] = [];
  private listeners: (() => void)[] = [];
  snapshot: ControlSnapshot | undefined;
  /** When digests were last compared with anybody, by either side. */
  lastExchangeAt = -Infinity;
  snapshotAt = 0;

  constructor(
    private readonly env: Env,
    private readonly rpc: Rpc,
    private readonly membership: Membership,
  ) {}

  /** @example news.start(); */
  start(): void {
    this.rpc.handle("news.push", (body, sender) => this.pushed(body, sender));
    this.rpc.handle("news.digest", (body, sender) => this.compared(body, sender));
    this.rpc.handle("news.differ", (body) => this.differed(body));
    const { membership } = this;
    this.rpc.handle("members.differ", function* (body: { buckets: number[]; standing: Record<string, MemberVersion> }) {
      return Fault.ok(membership.diff(body.buckets, body.standing));
    });
    this.rpc.handle("members.told", function* (body: { updates: Member[] }) {
      membership.merge(body.updates);
      return Fault.ok(true);
    });
    this.rpc.handle("frame.fetch", (body) => this.fetched(body));
    EnvTools.keep(this.env, this.env.scope, "news push", () => this.pushLoop());
    EnvTools.keep(this.env, this.env.scope, "news digest", () => this.digestLoop());
  }
  /** @example news.watch(() => rebuild()); */
  onChange(watcher: () => void): void {
    this.listeners.push(watcher);
  }
  private notifyListeners(): void {
    for (const watcher of this.listeners) watcher();
  }

  /**
   * Tells a fact of ours. One that is not urgent goes as what changed, and where that is lost the next telling makes
   * it good; an urgent one goes whole, and digests mend what is lost of it.
   * @example news.tell("load/n1", { live: 3 }, 5000, false);
   */
  publish(key: string, value: unknown, leaseMs: number, urgent: boolean): void {
    const known = this.facts.get(key);
    const version = this.nextVersion(known);
    const standing =
      known && !known.gone && !urgent && known.grantMs === leaseMs && this.env.mono() - known.heardAt < leaseMs;
    const patch = standing ? Gossip.patchOf(known.whole, value) : undefined;
    const layers: Layers =
      known && patch ? { base: known.base, whole: known.whole, patch } : { base: version, whole: value, patch: {} };
    this.keep({ key, owner: this.membership.self.id, version, gone: false, ...layers }, leaseMs);
    if (urgent) Csp.offer(this.wake, true);
  }
  private nextVersion = (known: Held | undefined): number =>
    Math.max(Math.floor(this.env.wall()), (known?.version ?? 0) + 1);
  /** Fields that are otherwise; none if the whole is shorter told anew. */
  private static patchOf(whole: unknown, value: unknown): Record<string, unknown> | undefined {
    const isObject = (each: unknown): each is Record<string, unknown> =>
      typeof each === "object" && each !== null && !Array.isArray(each);
    if (!isObject(whole) || !isObject(value)) return undefined;
    const names = Object.keys(value);
    if (Object.keys(whole).some((name) => !(name in value))) return undefined;
    const otherwise = names.filter(
      (name) => whole[name] !== value[name] && JSON.stringify(whole[name]) !== JSON.stringify(value[name]),
    );
    if (otherwise.length * 2 > names.length) return undefined;
    return Object.fromEntries(otherwise.map((name) => [name, value[name]]));
  }
  /** Ends a fact for good. @example news.end("replica/r1/x"); */
  remove(key: string, value = this.facts.get(key)?.value ?? null): void {
    const version = this.nextVersion(this.facts.get(key));
    this.keep(
      { key, owner: this.membership.self.id, version, gone: true, base: version, whole: value, patch: {} },
      Constants.tombstoneMs,
    );
    Csp.offer(this.wake, true);
  }
  /** Ends facts, and returns once another member knows it too, or soon: our word should outlive us. @example yield* news.endKept([key]); */
  *removeAndReplicate(keys: string[], value?: unknown): Task<void> {
    for (const key of keys) this.remove(key, value);
    const facts = keys
      .map((key) => this.facts.get(key))
      .filter((held): held is Held => !!held)
      .map(this.bare);
    const heard = Csp.chan<true>(Constants.gossipFanout);
    const gossip = this;
    const told = this.some(Constants.gossipFanout);
    if (told.length === 0) return;
    for (const address of told)
      Csp.go(this.env.scope, "push a goodbye", function* () {
        const response = yield* gossip.rpc.call(
          address,
          "news.push",
          { facts, renewed: [], frameIndex: 0 } satisfies Push,
          Constants.goodbyeToldMs,
        );
        if (response.ok) Csp.offer(heard, true);
      });
    yield* EnvTools.takeWithin(this.env, heard, Constants.goodbyeToldMs);
  }
  /** Facts under a grant, by key prefix. @example news.current("replica/") */
  live(prefix: string): GossipFact[] {
    const now = this.env.mono();
    const found: GossipFact[] = [];
    for (const key of (this.order ??= [...this.facts.keys()].sort())) {
      if (!key.startsWith(prefix)) continue;
      const fact = this.facts.get(key)!;
      if (!fact.gone && now - fact.heardAt < fact.grantMs) found.push(fact);
    }
    return found;
  }
  /** A fact as it stands, ended or not. @example news.find("replica/r1/x")?.value */
  find(key: string): GossipFact | undefined {
    return this.facts.get(key);
  }
  /** @example news.isGone("replica/r1/x") */
  isRemoved(key: string): boolean {
    return this.facts.get(key)?.gone ?? false;
  }
  /** @example news.versionAge("replica/r1/x") // ms since it was last renewed */
  ageMs(key: string): number {
    const known = this.facts.get(key);
    return known ? this.env.mono() - known.heardAt : Infinity;
  }
  /** Takes a newer control frame, never an older one. @example news.offerFrame(frame); */
  offerSnapshot(snapshot: ControlSnapshot, steps?: Step[]): boolean {
    const known = this.snapshot;
    if (
      known &&
      (snapshot.index <= known.index ||
        (snapshot.group !== known.group && !GroupRecovery.supersedes(snapshot.group, known.group)))
    )
      return false;
    this.keepSteps(known, snapshot, steps);
    this.snapshot = snapshot;
    this.snapshotAt = this.env.mono();
    this.env.point(21);
    Csp.offer(this.stirred, true);
    Csp.offer(this.wake, true);
    this.notifyListeners();
    return true;
  }

  /** The last steps of the manifest, for those who have what they begin with. */
  private keepSteps(known: ControlSnapshot | undefined, snapshot: ControlSnapshot, steps: Step[] | undefined): void {
    if (known && known.group === snapshot.group && known.manifest.version === snapshot.manifest.version) return;
    if (!known || known.group !== snapshot.group) this.steps = [];
    else if (steps) this.steps.push(...steps);
    else {
      const patch = ConfigurationPatch.between(known.manifest.doc, snapshot.manifest.doc);
      if (patch) this.steps.push({ from: known.manifest.version, to: snapshot.manifest.version, patch });
      else this.steps = [];
    }
    this.steps.splice(0, this.steps.length - Constants.configurationSteps);
  }
  /** What two members compare: the same where both can take the same renewals. */
  private static markOf = (fact: { key: string; base: number; gone: boolean }): number =>
    Hash.number(`${fact.key}|${fact.gone ? "gone" : fact.base}`);
  private static bucketOf = (key: string): number => Hash.number(key) % Constants.gossipBuckets;
  private keep(told: Omit<GossipFact, "value"> & Layers, leaseMs: number, ageMs = 0): boolean {
    const known = this.facts.get(told.key);
    if (known) {
      if (known.gone && !told.gone) return false;
      const sooner = told.version < known.version || (told.version === known.version && told.owner <= known.owner);
      if (sooner && !(told.gone && !known.gone)) return false;
    } else if (ageMs > Constants.tombstoneMs) return false; // others forget it by now, as we did
    const value = Object.keys(told.patch).length === 0 ? told.whole : { ...(told.whole as object), ...told.patch };
    const held: Held = {
      ...told,
      value,
      heardAt: this.env.mono() - ageMs,
      grantMs: leaseMs,
      mark: Gossip.markOf(told),
    };
    this.sums[Gossip.bucketOf(held.key)] ^= (known?.mark ?? 0) ^ held.mark;
    if (!known) this.order = undefined;
    this.facts.set(held.key, held);
    const rebased = known?.mark !== held.mark || this.fresh.get(told.key) === "whole";
    this.fresh.set(told.key, rebased ? "whole" : "renewed");
    Csp.offer(this.stirred, true);
    this.notifyListeners();
    return true;
  }
  private forget(held: Held): void {
    this.sums[Gossip.bucketOf(held.key)] ^= held.mark;
    this.order = undefined;
    this.facts.delete(held.key);
    this.fresh.delete(held.key);
  }
  private bare = ({ key, owner, version, gone, base, whole, patch, grantMs: leaseMs, heardAt }: Held): Told => ({
    key,
    owner,
    version,
    gone,
    base,
    whole,
    patch,
    grantMs: leaseMs,
    ageMs: Math.max(0, Math.round(this.env.mono() - heardAt)),
  });
  private renewal = ({ key, owner, version, base, patch, heardAt }: Held): Renewed => [
    key,
    owner,
    version,
    base,
    patch,
    Math.max(0, Math.round(this.env.mono() - heardAt)),
  ];

  private others(): string[] {
    return this.membership
      .alive()
      .filter((member) => member.id !== this.membership.self.id)
      .map((member) => member.address);
  }
  /**
   * Others to talk to. In a large fleet a few only, so that connections don't grow with it: those at fixed steps round
   * the ring of ids, near and far, so that each is talked to by as many as it talks to.
   */
  private partners(): string[] {
    const ring = this.membership.alive();
    const steps = ring.length - 1;
    if (steps <= Constants.gossipPartners) return this.others();
    const own = ring.findIndex((member) => member.id === this.membership.self.id);
    const chosen = new Set<number>();
    for (let at = 1; at <= Constants.gossipPartners; at += 1) {
      let step = Math.round(steps ** (at / Constants.gossipPartners));
      while (chosen.has(step)) step = (step % steps) + 1;
      chosen.add(step);
    }
    return [...chosen].map((step) => ring[(own + step) % ring.length].address);
  }
  /** The next of them, each in its turn. */
  private some(count: number): string[] {
    const there = this.partners();
    const chosen: string[] = [];
    while (chosen.length < count && chosen.length < there.length) {
      if (this.turn.length === 0) this.turn = this.shuffled([...there]);
      const address = this.turn.pop()!;
      if (there.includes(address) && !chosen.includes(address)) chosen.push(address);
    }
    return chosen;
  }
  private shuffled(list: string[]): string[] {
    for (let at = list.length - 1; at > 0; at -= 1) {
      const other = Math.floor(this.env.random() * (at + 1));
      [list[at], list[other]] = [list[other], list[at]];
    }
    return list;
  }

  private *pushLoop(): Task<void> {
    let toldSnapshot = 0;
    for (;;) {
      yield* Csp.take(this.stirred);
      yield* EnvTools.takeWithin(this.env, this.wake, Constants.gossipFlushMs);
      const snapshotIndex = this.snapshot?.index ?? 0;
      if (this.fresh.size === 0 && snapshotIndex === toldSnapshot) continue;
      const push: Push = { facts: [], renewed: [], frameIndex: snapshotIndex, group: this.snapshot?.group };
      for (const [key, how] of this.fresh) {
        const held = this.facts.get(key)!;
        if (how === "whole") push.facts.push(this.bare(held));
        else push.renewed.push(this.renewal(held));
      }
      this.fresh.clear();
      toldSnapshot = snapshotIndex;
      this.rpc.notify(this.some(Constants.gossipFanout), "news.push", push);
    }
  }
  private *digestLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(
        this.env,
        this.membership.periodMs(Constants.digestPeriodMs) * (0.8 + 0.4 * this.env.random()),
      );
      const now = this.env.mono();
      for (const [key, held] of this.facts) {
        const keptFor = held.gone ? Constants.tombstoneMs : held.grantMs;
        if (now - held.heardAt > keptFor) {
          if (held.gone) this.forget(held);
          else {
            if (key.startsWith("replica/")) this.env.log(1203, { replica: key });
            // remembered as it was, so that an older copy elsewhere is not taken for news
            if (now - held.heardAt > Constants.tombstoneMs) this.forget(held);
            this.notifyListeners();
          }
        }
      }
      yield* this.exchangeDigests();
    }
  }
  /**
   * Compares digests with one member, and mends both ways what differs; true if it answered. A single sum tells
   * whether anything differs, sums by bucket tell where, and only the facts of those buckets are gone through.
   * @example yield* news.compareWithOne()
   */
  *exchangeDigests(): Task<boolean> {
    const [address] = this.some(1);
    if (!address) return false;
    const askedAt = this.env.mono();
    const digest: Digest = {
      sum: Gossip.sum(this.sums),
      memberSum: Gossip.sum(this.membership.bucketChecksums()),
      stale: this.stale(),
      frameIndex: this.snapshot?.index ?? 0,
      group: this.snapshot?.group,
    };
    const response = yield* this.rpc.call<Compared>(address, "news.digest", digest, 600);
    if (!response.ok) return false;
    for (const renewed of response.value.renewed) this.renew(renewed);
    if (response.value.memberSums) yield* this.mendMembers(address, response.value.memberSums);
    if (response.value.sums) yield* this.mend(address, response.value.sums);
    yield* this.fetchSnapshotIfNewer(address, response.value.frameIndex);
    this.lastExchangeAt = askedAt;
    return true;
  }
  /** Facts whose renewals have not come for long: they are asked after before their grant ends. */
  private stale(): Record<string, number> {
    const now = this.env.mono();
    const stale: Record<string, number> = {};
    let count = 0;
    for (const { key, version, gone, heardAt, grantMs: leaseMs } of this.facts.values()) {
      const age = now - heardAt;
      if (gone || age < leaseMs * Constants.staleShare || age > leaseMs) continue;
      stale[key] = version;
      if ((count += 1) >= Constants.staleAsked) break;
    }
    return stale;
  }
  private static sum = (sums: number[]): number =>
    sums.reduce((sum, each, bucket) => (sum ^ Math.imul(each, 2 * bucket + 1)) >>> 0, 0);
  /** Who is there, passed on by datagrams a few times only: what was lost of it is found here. */
  private *mendMembers(address: string, theirs: number[]): Task<void> {
    const buckets = this.membership
      .bucketChecksums()
      .flatMap((sum, bucket) => (sum === theirs[bucket] ? [] : [bucket]));
    const body = { buckets, standing: this.membership.versions(buckets) };
    const response = yield* this.rpc.call<{ updates: Member[]; want: string[] }>(address, "members.differ", body, 600);
    if (!response.ok) return;
    this.membership.merge(response.value.updates);
    const updates = this.membership.membersById(response.value.want);
    if (updates.length > 0) this.rpc.notify([address], "members.told", { updates });
  }
  private *mend(address: string, theirs: number[]): Task<void> {
    const buckets = this.sums.flatMap((sum, bucket) => (sum === theirs[bucket] ? [] : [bucket]));
    const standing = Object.fromEntries(
      this.inBuckets(buckets).map((held): [string, Standing] => [
        held.key,
        [held.base, held.version, held.gone ? 1 : 0],
      ]),
    );
    const response = yield* this.rpc.call<{ facts: Told[]; want: string[] }>(
      address,
      "news.differ",
      { buckets, standing },
      600,
    );
    if (!response.ok) return;
    for (const fact of response.value.facts) this.keep(fact, fact.grantMs, fact.ageMs);
    const facts = response.value.want
      .map((key) => this.facts.get(key))
      .filter((held): held is Held => !!held)
      .map(this.bare);
    if (facts.length > 0)
      this.rpc.notify([address], "news.push", {
        facts,
        renewed: [],
        frameIndex: this.snapshot?.index ?? 0,
        group: this.snapshot?.group,
      } satisfies Push);
  }
  private inBuckets(buckets: number[]): Held[] {
    const wanted = new Set(buckets);
    return [...this.facts.values()].filter((held) => wanted.has(Gossip.bucketOf(held.key)));
  }
  /** Fetches the frame of a member that says it has one of this index. @example yield* news.fetchIfNewer(address, 17) */
  *fetchSnapshotIfNewer(address: string, index: number): Task<void> {
    if (index <= (this.snapshot?.index ?? 0) || this.fetching) return;
    this.fetching = true;
    try {
      const known = this.snapshot;
      const have: Have = {
        have: known?.index ?? 0,
        group: known?.group ?? "",
        manifest: known?.manifest.version ?? -1,
      };
      const fetched = yield* this.rpc.call<FrameTold | null>(address, "frame.fetch", have, 1500);
      if (!fetched.ok || !fetched.value) return;
      const { steps, ...snapshot } = fetched.value;
      const configuration =
        snapshot.manifest ?? (steps && known ? Gossip.stepped(known.manifest, steps) : known?.manifest);
      if (configuration) this.offerSnapshot({ ...snapshot, manifest: configuration }, steps);
    } finally {
      this.fetching = false;
    }
  }
  private *pushed(body: Push, sender: string): Task<ReturnType<typeof Fault.ok>> {
    let urgent = false;
    for (const fact of body.facts) {
      const first = !this.facts.has(fact.key);
      if (this.keep(fact, fact.grantMs, fact.ageMs) && (first || fact.gone)) urgent = true;
    }
    for (const renewed of body.renewed) this.renew(renewed);
    if (urgent) Csp.offer(this.wake, true);
    const address = this.membership.find(sender)?.address;
    if (address) yield* this.fetchSnapshotIfNewer(address, body.frameIndex);
    return Fault.ok(true);
  }
  private renew([key, owner, version, base, patch, ageMs]: Renewed): void {
    const known = this.facts.get(key);
    // without its base it can't be taken: the digests bring that
    if (known && !known.gone && known.base === base)
      this.keep({ key, owner, version, gone: false, base, whole: known.whole, patch }, known.grantMs, ageMs);
  }
  private *compared(body: Digest, sender: string): Task<Result<Compared>> {
    this.lastExchangeAt = this.env.mono();
    const address = this.membership.find(sender)?.address;
    if (address && body.frameIndex > (this.snapshot?.index ?? 0)) {
      const gossip = this;
      Csp.go(this.env.scope, "fetch", () => gossip.fetchSnapshotIfNewer(address, body.frameIndex));
    }
    const memberSums = this.membership.bucketChecksums();
    const newer = Object.entries(body.stale)
      .flatMap(([key]) => this.facts.get(key) ?? [])
      .filter((held) => !held.gone && held.version > body.stale[held.key]);
    return Fault.ok({
      renewed: newer.map(this.renewal),
      frameIndex: this.snapshot?.index ?? 0,
      ...(body.sum === Gossip.sum(this.sums) ? {} : { sums: this.sums }),
      ...(body.memberSum === Gossip.sum(memberSums) ? {} : { memberSums }),
    });
  }
  private *differed(body: {
    buckets: number[];
    standing: Record<string, Standing>;
  }): Task<Result<{ facts: Told[]; want: string[] }>> {
    const later = (left: Standing, right: Standing): boolean =>
      left[2] > right[2] || (left[2] === right[2] && left[1] > right[1]);
    const ours = new Map(this.inBuckets(body.buckets).map((held) => [held.key, held]));
    const standingOf = (held: Held): Standing => [held.base, held.version, held.gone ? 1 : 0];
    const facts = [...ours.values()].filter(
      (held) =>
        !body.standing[held.key] ||
        (Gossip.differ(standingOf(held), body.standing[held.key]) && later(standingOf(held), body.standing[held.key])),
    );
    const want = Object.keys(body.standing).filter((key) => {
      const held = ours.get(key);
      return (
        !held || (Gossip.differ(standingOf(held), body.standing[key]) && later(body.standing[key], standingOf(held)))
      );
    });
    return Fault.ok({ facts: facts.map(this.bare), want });
  }
  /** Versions of one base need no mending: the next renewal does. */
  private static differ = (left: Standing, right: Standing): boolean =>
    left[2] !== right[2] || (left[2] === 0 && left[0] !== right[0]);
  private static stepped(configuration: ControlSnapshot["manifest"], steps: Step[]): ControlSnapshot["manifest"] {
    return {
      version: steps[steps.length - 1].to,
      doc: steps.reduce((doc, step) => ConfigurationPatch.apply(doc, step.patch), configuration.doc),
    };
  }
  /** The frame, if ours is newer; without its manifest, by far the largest part, where the asker has that. */
  private *fetched(body: Have): Task<Result<FrameTold | null>> {
    if (!this.snapshot || this.snapshot.index <= body.have) return Fault.ok(null);
    const { manifest: configuration, ...rest } = this.snapshot;
    if (rest.group !== body.group) return Fault.ok(this.snapshot);
    if (configuration.version === body.manifest) return Fault.ok(rest);
    const first = this.steps.findIndex((step) => step.from === body.manifest);
    const steps = first < 0 ? [] : this.steps.slice(first);
    const items = steps.reduce((sum, step) => sum + Object.keys(step.patch.upsert.bindings ?? {}).length, 0);
    return Fault.ok(
      steps.length === 0 || items * 2 > Object.keys(configuration.doc.bindings).length
        ? this.snapshot
        : { ...rest, steps },
    );
  }
}
