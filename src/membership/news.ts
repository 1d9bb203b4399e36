import { Constants } from "../constants";
import { Chan, Csp, Task } from "../csp/csp";
import { Env, EnvTools } from "../env/env";
import { Fault, Result } from "../core/fault";
import { Rpc } from "../wire/rpc";
import { ControlFrame, ControlState } from "../control/controlState";
import { Membership } from "./membership";

/** One fact with an owner and a version; no value means it has ended for good. */
export type Fact = { key: string; owner: string; version: number; value: unknown; gone: boolean };
type Held = Fact & { heardAt: number; grantMs: number };
type Have = { have: number; group: string; manifest: number };
type FrameTold = Omit<ControlFrame, "manifest"> & { manifest?: ControlFrame["manifest"] };
/** A fact on its way carries its age, so that passing it on never makes it younger. */
type Told = Fact & { grantMs: number; ageMs: number };

/**
 * News passed to a few members, gaps mended by digests. The control frame travels with it:
 * only its index is told, and who has less fetches it.
 *
 * @example
 * const news = new News(env, rpc, membership);
 * news.start();
 * news.tell("replica/r1/x", { address: "127.0.0.1:9000" }, Constants.replicaGrantMs, true);
 */
export class News {
  private facts = new Map<string, Held>();
  private fresh = new Set<string>();
  private wake: Chan<true> = Csp.sliding(1);
  private fetching = false;
  private watchers: (() => void)[] = [];
  frame: ControlFrame | undefined;
  /** When digests were last compared with anybody, by either side. */
  comparedAt = -Infinity;
  frameAt = 0;

  constructor(
    private readonly env: Env,
    private readonly rpc: Rpc,
    private readonly membership: Membership,
  ) {}

  /** @example news.start(); */
  start(): void {
    this.rpc.handle("news.push", (body, sender) => this.pushed(body, sender));
    this.rpc.handle("news.digest", (body, sender) => this.compared(body, sender));
    this.rpc.handle("frame.fetch", (body) => this.fetched(body));
    EnvTools.keep(this.env, this.env.scope, "news push", () => this.pushLoop());
    EnvTools.keep(this.env, this.env.scope, "news digest", () => this.digestLoop());
  }
  /** @example news.watch(() => rebuild()); */
  watch(watcher: () => void): void {
    this.watchers.push(watcher);
  }
  private notify(): void {
    for (const watcher of this.watchers) watcher();
  }

  /** Tells a fact of ours. @example news.tell("load/n1", { live: 3 }, 5000, false); */
  tell(key: string, value: unknown, grantMs: number, urgent: boolean): void {
    const known = this.facts.get(key);
    const version = Math.max(Math.floor(this.env.wall()), (known?.version ?? 0) + 1);
    this.keep({ key, owner: this.membership.self.id, version, value, gone: false }, grantMs);
    if (urgent) Csp.offer(this.wake, true);
  }
  /** Ends a fact for good. @example news.end("replica/r1/x"); */
  end(key: string, value = this.facts.get(key)?.value ?? null): void {
    const known = this.facts.get(key);
    this.keep({ key, owner: this.membership.self.id, version: Math.max(Math.floor(this.env.wall()), (known?.version ?? 0) + 1), value, gone: true }, Constants.tombstoneMs);
    Csp.offer(this.wake, true);
  }
  /** Ends facts, and returns once another member knows it too, or soon: our word should outlive us. @example yield* news.endKept([key]); */
  *endKept(keys: string[], value?: unknown): Task<void> {
    for (const key of keys) this.end(key, value);
    const facts = keys.map((key) => this.facts.get(key)).filter((held): held is Held => !!held).map(this.bare);
    const heard = Csp.chan<true>(Constants.newsFanout);
    const news = this;
    const told = this.some(Constants.newsFanout);
    if (told.length === 0) return;
    for (const address of told)
      Csp.go(this.env.scope, "push a goodbye", function* () {
        const replied = yield* news.rpc.ask(address, "news.push", { facts, frameIndex: 0 }, Constants.goodbyeToldMs);
        if (replied.ok) Csp.offer(heard, true);
      });
    yield* EnvTools.takeWithin(this.env, heard, Constants.goodbyeToldMs);
  }
  /** Facts under a grant, by key prefix. @example news.current("replica/") */
  current(prefix: string): Fact[] {
    const now = this.env.mono();
    return [...this.facts.values()]
      .filter((fact) => fact.key.startsWith(prefix) && !fact.gone && now - fact.heardAt < fact.grantMs)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }
  /** A fact as it stands, ended or not. @example news.find("replica/r1/x")?.value */
  find(key: string): Fact | undefined {
    return this.facts.get(key);
  }
  /** @example news.isGone("replica/r1/x") */
  isGone(key: string): boolean {
    return this.facts.get(key)?.gone ?? false;
  }
  /** @example news.versionAge("replica/r1/x") // ms since it was last renewed */
  versionAge(key: string): number {
    const known = this.facts.get(key);
    return known ? this.env.mono() - known.heardAt : Infinity;
  }
  /** Takes a newer control frame, never an older one. @example news.offerFrame(frame); */
  offerFrame(frame: ControlFrame): boolean {
    const known = this.frame;
    if (known && (frame.index <= known.index || (frame.group !== known.group && !ControlState.supersedes(frame.group, known.group)))) return false;
    this.frame = frame;
    this.frameAt = this.env.mono();
    this.env.point(21);
    Csp.offer(this.wake, true);
    this.notify();
    return true;
  }

  private keep(fact: Fact, grantMs: number, ageMs = 0): boolean {
    const known = this.facts.get(fact.key);
    if (known) {
      if (known.gone && !fact.gone) return false;
      const sooner = fact.version < known.version || (fact.version === known.version && fact.owner <= known.owner);
      if (sooner && !(fact.gone && !known.gone)) return false;
    }
    this.facts.set(fact.key, { ...fact, heardAt: this.env.mono() - ageMs, grantMs });
    this.fresh.add(fact.key);
    this.notify();
    return true;
  }
  private bare = (held: Held): Told => ({
    key: held.key, owner: held.owner, version: held.version, value: held.value, gone: held.gone, grantMs: held.grantMs,
    ageMs: Math.max(0, this.env.mono() - held.heardAt),
  });

  private others(): string[] {
    return this.membership.alive().filter((member) => member.id !== this.membership.self.id).map((member) => member.address);
  }
  private some(count: number): string[] {
    const from = this.others();
    const chosen: string[] = [];
    while (chosen.length < count && from.length > 0) chosen.push(...from.splice(Math.floor(this.env.random() * from.length), 1));
    return chosen;
  }

  private *pushLoop(): Task<void> {
    let toldFrame = 0;
    for (;;) {
      yield* EnvTools.takeWithin(this.env, this.wake, Constants.newsFlushMs);
      const frameIndex = this.frame?.index ?? 0;
      if (this.fresh.size === 0 && frameIndex === toldFrame) continue;
      const facts = [...this.fresh].map((key) => this.facts.get(key)).filter((held): held is Held => !!held).map(this.bare);
      this.fresh.clear();
      toldFrame = frameIndex;
      for (const address of this.some(Constants.newsFanout)) {
        const news = this;
        Csp.go(this.env.scope, "push", function* () {
          yield* news.rpc.ask(address, "news.push", { facts, frameIndex, group: news.frame?.group }, 500);
        });
      }
    }
  }
  private *digestLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, this.membership.period(Constants.digestPeriodMs) * (0.8 + 0.4 * this.env.random()));
      const now = this.env.mono();
      for (const [key, held] of this.facts) {
        const keptFor = held.gone ? Constants.tombstoneMs : held.grantMs;
        if (now - held.heardAt > keptFor) {
          if (held.gone) this.facts.delete(key);
          else {
            if (key.startsWith("replica/")) this.env.log(1203, { replica: key });
            // remembered as it was, so that an older copy elsewhere is not taken for news
            if (now - held.heardAt > Constants.tombstoneMs) this.facts.delete(key);
            this.notify();
          }
        }
      }
      yield* this.compareWithOne();
    }
  }
  /** Compares digests with one member; true if it answered. @example yield* news.compareWithOne() */
  *compareWithOne(): Task<boolean> {
    const [address] = this.some(1);
    if (!address) return false;
    const askedAt = this.env.mono();
    const digest: Record<string, number> = {};
    for (const held of this.facts.values()) digest[held.key] = held.gone ? Number.MAX_SAFE_INTEGER : held.version;
    const reply = yield* this.rpc.ask(address, "news.digest", { digest, frameIndex: this.frame?.index ?? 0, group: this.frame?.group }, 600);
    if (!reply.ok) return false;
    for (const fact of reply.value.facts) this.keep(fact, fact.grantMs, fact.ageMs);
    const wanted = (reply.value.want as string[]).map((key) => this.facts.get(key)).filter((held): held is Held => !!held).map(this.bare);
    if (wanted.length > 0) yield* this.rpc.ask(address, "news.push", { facts: wanted, frameIndex: this.frame?.index ?? 0, group: this.frame?.group }, 500);
    yield* this.fetchIfNewer(address, reply.value.frameIndex);
    this.comparedAt = askedAt;
    return true;
  }
  private *fetchIfNewer(address: string, index: number): Task<void> {
    if (index <= (this.frame?.index ?? 0) || this.fetching) return;
    this.fetching = true;
    try {
      const known = this.frame;
      const have: Have = { have: known?.index ?? 0, group: known?.group ?? "", manifest: known?.manifest.version ?? -1 };
      const fetched = yield* this.rpc.ask<FrameTold | null>(address, "frame.fetch", have, 1500);
      if (!fetched.ok || !fetched.value) return;
      const manifest = fetched.value.manifest ?? known?.manifest;
      if (manifest) this.offerFrame({ ...fetched.value, manifest });
    } finally {
      this.fetching = false;
    }
  }
  private *pushed(body: { facts: Told[]; frameIndex: number }, sender: string): Task<ReturnType<typeof Fault.ok>> {
    let news = false;
    for (const fact of body.facts) news = this.keep(fact, fact.grantMs, fact.ageMs) || news;
    if (news && body.facts.some((fact) => fact.gone)) Csp.offer(this.wake, true);
    const address = this.membership.find(sender)?.address;
    if (address) yield* this.fetchIfNewer(address, body.frameIndex);
    return Fault.ok(true);
  }
  private *compared(body: { digest: Record<string, number>; frameIndex: number }, sender: string): Task<ReturnType<typeof Fault.ok>> {
    this.comparedAt = this.env.mono();
    const facts = [...this.facts.values()]
      .filter((held) => (held.gone ? Number.MAX_SAFE_INTEGER : held.version) > (body.digest[held.key] ?? -1))
      .map(this.bare);
    const want = Object.keys(body.digest).filter((key) => {
      const held = this.facts.get(key);
      return !held || (held.gone ? Number.MAX_SAFE_INTEGER : held.version) < body.digest[key];
    });
    const address = this.membership.find(sender)?.address;
    if (address && body.frameIndex > (this.frame?.index ?? 0)) {
      const news = this;
      Csp.go(this.env.scope, "fetch", () => news.fetchIfNewer(address, body.frameIndex));
    }
    return Fault.ok({ facts, want, frameIndex: this.frame?.index ?? 0 });
  }
  /** The frame, if ours is newer; without its manifest, by far the largest part, where the asker has that. */
  private *fetched(body: Have): Task<Result<FrameTold | null>> {
    if (!this.frame || this.frame.index <= body.have) return Fault.ok(null);
    const { manifest, ...rest } = this.frame;
    const theirs = rest.group === body.group && manifest.version === body.manifest;
    return Fault.ok(theirs ? rest : this.frame);
  }
}
