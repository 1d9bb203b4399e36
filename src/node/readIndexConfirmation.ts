import { Constants } from "../common/constants";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { GroupRecovery } from "../controlState/groupRecovery";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { Rpc } from "../rpc/rpc";
import { Fault, Result } from "../common/fault";

/** A read index (Raft, section 6.4): at the time `at` the control leader had committed no configuration past `index`. */
export interface ReadIndex {
  /** Id of the consensus group. */
  readonly group: string;
  /** Log index of the newest configuration. */
  readonly index: number;
  /** Monotonic ms of this process. */
  readonly at: number;
}

/** The same on the wire: an age in place of a time, since no two processes share a monotonic clock. */
interface ReadIndexResponse {
  readonly group: string;
  readonly index: number;
  readonly ageMs: number;
}

interface ReadIndexRequest {
  /** The read index must be younger, ms. */
  readonly maxAgeMs: number;
  /** How often the request may still be forwarded. */
  readonly hops: number;
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Asks for a read index that is young enough. Faults: busy if there is none. Idempotent: it only reads. */
    "config.readIndex": RpcMethod<ReadIndexRequest, ReadIndexResponse>;
  }
}

/** What a confirmation needs of the process that it runs in. */
export interface ReadIndexConfirmationHooks {
  /** Our own read index, if we are the control leader and hold its lease. */
  own(): ReadIndex | undefined;
  /** Address to ask, by the number of the attempt; undefined if there is none. */
  source(attempt: number): string | undefined;
  /** The configuration that would be served. */
  configuration(): ControlSnapshot | undefined;
  /** Fetches a configuration of at least this index. */
  fetch(address: string, index: number): Task<void>;
}

/** Pauses between attempts differ by up to this share, so that processes don't fall into step. */
const RETRY_JITTER_LOW = 0.8;
const RETRY_JITTER_SPREAD = 0.4;

/**
 * Confirms that the configuration held here is current. A process that has just started or was frozen may be on the
 * minority side of a partition, where every process it reaches has an outdated configuration. It therefore serves nothing
 * until it has a read index of the control leader that was taken after its start or freeze, and a configuration at least as
 * new. Once confirmed, it stays so until the next freeze: a consensus group without a leader doesn't stop running
 * processes.
 *
 * A read index is taken only from the response to a request of our own and counted from before the request, so it is never
 * thought younger than it is, however long a message lay in a buffer or a frozen process.
 *
 * @example
 * const confirmation = new ReadIndexConfirmation(env, rpc, hooks);
 * confirmation.start();
 * if (!confirmation.isConfirmed()) return "configuration not confirmed";
 */
export class ReadIndexConfirmation {
  /** Only a read index taken later than this confirms, monotonic ms. */
  private requiredAfter: number;
  private wasConfirmed = false;
  private latest: ReadIndex | undefined;
  /** Addresses with a request under way. */
  private readonly pendingAddresses = new Set<string>();
  /** Closed when the forwarded request that is under way has ended. */
  private refreshing: Chan<true> | undefined;
  private readonly confirmationDue: Chan<true> = Csp.sliding(1);

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    private readonly hooks: ReadIndexConfirmationHooks,
  ) {
    this.requiredAfter = env.monotonicMs();
  }

  /** Starts to ask for a read index, and does so again after each freeze. @example confirmation.start(); */
  start(): void {
    Csp.offer(this.confirmationDue, true);
    EnvironmentTools.runSupervised(this.env, this.env.scope, "configuration confirmation", () => this.confirmLoop());
  }

  /** Responds to other processes that ask. @example confirmation.serve(); */
  serve(): void {
    this.rpc.handle("config.readIndex", (request) => this.onRequest(request));
  }

  /** From now on only a read index taken later than this confirms. @example confirmation.invalidate(); */
  invalidate(): void {
    this.requiredAfter = this.env.monotonicMs();
    this.wasConfirmed = false;
    Csp.offer(this.confirmationDue, true);
  }

  /** Whether the configuration is confirmed. @example if (!confirmation.isConfirmed()) return busy; */
  isConfirmed(): boolean {
    if (this.wasConfirmed) return true;
    const own = this.hooks.own();
    if (own) this.record(own);
    const { latest } = this;
    const configuration = this.hooks.configuration();
    if (!latest || !configuration || latest.at <= this.requiredAfter) return false;
    if (latest.group !== configuration.group || latest.index > configuration.index) return false;
    this.wasConfirmed = true;
    this.env.log(1603, {
      index: configuration.index,
      afterMs: Math.round(this.env.monotonicMs() - this.requiredAfter),
    });
    return true;
  }

  /** Remembers the newest read index; one of a group that was superseded is none. */
  private record(readIndex: ReadIndex): void {
    const { latest } = this;
    if (latest && latest.group !== readIndex.group && GroupRecovery.supersedes(latest.group, readIndex.group)) return;
    if (!latest || latest.group !== readIndex.group || readIndex.at > latest.at) this.latest = readIndex;
  }

  private *confirmLoop(): Task<void> {
    for (;;) {
      yield* Csp.take(this.confirmationDue);
      for (let attempt = 0; !this.isConfirmed(); attempt += 1) {
        const address = this.hooks.source(attempt);
        const confirmation = this;
        if (address !== undefined && !this.pendingAddresses.has(address))
          Csp.go(this.env.scope, "ask for a read index", () => confirmation.askAt(address));
        yield* EnvironmentTools.sleep(
          this.env,
          Constants.readIndexRetryMs * (RETRY_JITTER_LOW + RETRY_JITTER_SPREAD * this.env.random()),
        );
      }
    }
  }

  private *askAt(address: string): Task<void> {
    this.pendingAddresses.add(address);
    try {
      const maxAgeMs = this.env.monotonicMs() - this.requiredAfter;
      const readIndex = yield* this.request(address, { maxAgeMs, hops: Constants.readIndexMaxHops });
      if (readIndex && readIndex.index > (this.hooks.configuration()?.index ?? 0))
        yield* this.hooks.fetch(address, readIndex.index);
      this.isConfirmed();
    } finally {
      this.pendingAddresses.delete(address);
    }
  }

  private *request(address: string, request: ReadIndexRequest): Task<ReadIndex | undefined> {
    const sentAt = this.env.monotonicMs();
    const response = yield* this.rpc.call(address, "config.readIndex", request, Constants.readIndexTimeoutMs);
    if (!response.ok) return undefined;
    const { group, index, ageMs } = response.value;
    const readIndex = { group, index, at: sentAt - ageMs };
    this.record(readIndex);
    return readIndex;
  }

  /** Handles "config.readIndex". */
  private *onRequest(request: ReadIndexRequest): Task<Result<ReadIndexResponse>> {
    const own = yield* this.awaitOwn(request.maxAgeMs);
    const known = own ?? this.youngEnough(request.maxAgeMs);
    if (known) return Fault.ok(this.responseOf(known));
    if (request.hops > 0) yield* this.refresh({ ...request, hops: request.hops - 1 });
    const refreshed = this.youngEnough(request.maxAgeMs);
    if (refreshed) return Fault.ok(this.responseOf(refreshed));
    return Fault.busy("read index", "here", "no word of the control lead is young enough", Constants.readIndexRetryMs);
  }

  /** As the leader: the contact with a majority that began late enough comes with the next heartbeats. */
  private *awaitOwn(maxAgeMs: number): Task<ReadIndex | undefined> {
    const requiredAfter = this.env.monotonicMs() - maxAgeMs;
    const deadline = this.env.monotonicMs() + Constants.readIndexWaitMaxMs;
    for (let own = this.hooks.own(); own; own = this.hooks.own()) {
      if (own.at > requiredAfter) return own;
      if (this.env.monotonicMs() > deadline) return undefined;
      yield* EnvironmentTools.sleep(this.env, Constants.readIndexCheckPeriodMs);
    }
    return undefined;
  }

  private youngEnough(maxAgeMs: number): ReadIndex | undefined {
    return this.latest && this.env.monotonicMs() - this.latest.at < maxAgeMs ? this.latest : undefined;
  }

  private responseOf = ({ group, index, at }: ReadIndex): ReadIndexResponse => ({
    group,
    index,
    ageMs: Math.ceil(this.env.monotonicMs() - at),
  });
  /** Forwards a request; those that come meanwhile wait for the same response. */
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
