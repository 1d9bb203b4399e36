import { Constants } from "../common/constants";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { GroupRecovery } from "../controlState/groupRecovery";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Rpc } from "../rpc/rpc";
import { Fault, Result } from "../common/fault";

/** The control lead's word: at the time `at`, of our monotonic clock, no configuration past `index` was committed. */
export type ReadIndex = { group: string; index: number; at: number };
/** The same on its way: an age in place of a time, since no two processes share a monotonic clock. */
type AgedReadIndex = { group: string; index: number; ageMs: number };
/** Asks for a read index younger than `maxAgeMs`; `hops` is how often the question may still be passed on. */
type ReadIndexRequest = { maxAgeMs: number; hops: number };
/** What a confirmation needs of the process it runs in. */
export type ReadIndexConfirmationHooks = {
  /** Our own read index, if we are the control lead and hold its lease. */
  own(): ReadIndex | undefined;
  /** Whom to ask, one at a time; the number counts the attempts. */
  source(attempt: number): string | undefined;
  /** The configuration that would be served. */
  configuration(): ControlSnapshot | undefined;
  /** Fetches a configuration of at least this index. */
  fetch(address: string, index: number): Task<void>;
};

const verb = "config.readIndex";

/**
 * Whether the configuration held here may be served. A process that has just started or thawed may be on the wrong side
 * of a cut, where everybody it reaches holds an old configuration. It therefore serves nothing until it holds a read
 * index of the control lead that was taken after its start or thaw, and a configuration at least as new. Once
 * confirmed, it stays so until the next thaw: a control group without a lead stops nobody who runs.
 *
 * A read index is taken only from the response to a request of our own and counted from before the request, so that
 * it is never held for younger than it is, however long anything lay in a buffer or a frozen process.
 *
 * @example
 * const confirmation = new Confirmation(env, rpc, hooks);
 * confirmation.start();
 * if (!confirmation.confirmed()) return "configuration not confirmed";
 */
export class ReadIndexConfirmation {
  private requiredAfter: number;
  private wasConfirmed = false;
  private latest: ReadIndex | undefined;
  private readonly asking = new Set<string>();
  private refreshing: Chan<true> | undefined;
  private readonly required: Chan<true> = Csp.sliding(1);

  constructor(
    private readonly env: Env,
    private readonly rpc: Rpc,
    private readonly hooks: ReadIndexConfirmationHooks,
  ) {
    this.requiredAfter = env.mono();
  }

  /** Starts to ask. @example confirmation.start(); */
  start(): void {
    Csp.offer(this.required, true);
    EnvTools.keep(this.env, this.env.scope, "configuration confirmation", () => this.confirmLoop());
  }
  /** Responds to others that ask. @example confirmation.serve(); */
  serve(): void {
    this.rpc.handle(verb, (request) => this.respond(request));
  }
  /** From now on only a read index taken later than this counts. @example confirmation.require(); */
  invalidate(): void {
    this.requiredAfter = this.env.mono();
    this.wasConfirmed = false;
    Csp.offer(this.required, true);
  }
  /** @example if (!confirmation.confirmed()) return busy; */
  isConfirmed(): boolean {
    if (this.wasConfirmed) return true;
    const own = this.hooks.own();
    if (own) this.note(own);
    const { latest } = this;
    const configuration = this.hooks.configuration();
    if (!latest || !configuration || latest.at <= this.requiredAfter) return false;
    if (latest.group !== configuration.group || latest.index > configuration.index) return false;
    this.wasConfirmed = true;
    this.env.log(1603, { index: configuration.index, afterMs: Math.round(this.env.mono() - this.requiredAfter) });
    return true;
  }

  private note(readIndex: ReadIndex): void {
    const { latest } = this;
    if (latest && latest.group !== readIndex.group && GroupRecovery.supersedes(latest.group, readIndex.group)) return;
    if (!latest || latest.group !== readIndex.group || readIndex.at > latest.at) this.latest = readIndex;
  }
  private *confirmLoop(): Task<void> {
    for (;;) {
      yield* Csp.take(this.required);
      for (let attempt = 0; !this.isConfirmed(); attempt += 1) {
        const address = this.hooks.source(attempt);
        const confirmation = this;
        if (address !== undefined && !this.asking.has(address))
          Csp.go(this.env.scope, "ask for a read index", () => confirmation.ask(address));
        yield* EnvTools.sleep(this.env, Constants.confirmRetryMs * (0.8 + 0.4 * this.env.random()));
      }
    }
  }
  private *ask(address: string): Task<void> {
    this.asking.add(address);
    try {
      const maxAgeMs = this.env.mono() - this.requiredAfter;
      const readIndex = yield* this.request(address, { maxAgeMs, hops: Constants.confirmHops });
      if (readIndex && readIndex.index > (this.hooks.configuration()?.index ?? 0))
        yield* this.hooks.fetch(address, readIndex.index);
      this.isConfirmed();
    } finally {
      this.asking.delete(address);
    }
  }
  private *request(address: string, request: ReadIndexRequest): Task<ReadIndex | undefined> {
    const askedAt = this.env.mono();
    const response = yield* this.rpc.call<AgedReadIndex>(address, verb, request, Constants.confirmAskMs);
    if (!response.ok) return undefined;
    const { group, index, ageMs } = response.value;
    const readIndex = { group, index, at: askedAt - ageMs };
    this.note(readIndex);
    return readIndex;
  }

  private *respond(request: ReadIndexRequest): Task<Result<AgedReadIndex>> {
    const own = yield* this.ownWithin(request.maxAgeMs);
    const known = own ?? this.youngEnough(request.maxAgeMs);
    if (known) return Fault.ok(this.aged(known));
    if (request.hops > 0) yield* this.refresh({ ...request, hops: request.hops - 1 });
    const refreshed = this.youngEnough(request.maxAgeMs);
    if (refreshed) return Fault.ok(this.aged(refreshed));
    return Fault.busy("read index", "here", "no word of the control lead is young enough", Constants.confirmRetryMs);
  }
  /** As the lead: contact with a majority that began late enough comes with the next heartbeats. */
  private *ownWithin(maxAgeMs: number): Task<ReadIndex | undefined> {
    const requiredAfter = this.env.mono() - maxAgeMs;
    const until = this.env.mono() + Constants.readIndexWaitMs;
    for (let own = this.hooks.own(); own; own = this.hooks.own()) {
      if (own.at > requiredAfter) return own;
      if (this.env.mono() > until) return undefined;
      yield* EnvTools.sleep(this.env, Constants.readIndexTickMs);
    }
    return undefined;
  }
  private youngEnough(maxAgeMs: number): ReadIndex | undefined {
    return this.latest && this.env.mono() - this.latest.at < maxAgeMs ? this.latest : undefined;
  }
  private aged = ({ group, index, at }: ReadIndex): AgedReadIndex => ({
    group,
    index,
    ageMs: Math.ceil(this.env.mono() - at),
  });
  /** Passes the question on; whoever asks meanwhile waits for the same response. */
  private *refresh(request: ReadIndexRequest): Task<void> {
    if (this.refreshing) {
      yield* Csp.take(this.refreshing);
      return;
    }
    const address = this.hooks.source(0);
    if (address === undefined) return;
    const done = (this.refreshing = Csp.chan<true>(1));
    try {
      yield* this.request(address, request);
    } finally {
      this.refreshing = undefined;
      done.close();
    }
  }
}
