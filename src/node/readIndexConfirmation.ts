import { Constants } from "../common/constants";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { GroupRecovery } from "../controlState/groupRecovery";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { Rpc } from "../rpc/rpc";
import { Fault, Result } from "../common/fault";

/** A read index (Raft, section 6.4): at time `at`, the control leader had committed no configuration after `index`. */
export interface ReadIndex {
  /** Id of the consensus group. */
  readonly group: string;
  /** Log index of the newest configuration. */
  readonly index: number;
  /** Time on this process's monotonic clock, ms. */
  readonly at: number;
}

/**
 * A read index in the wire format. It contains an age instead of a time, because processes share no monotonic clock.
 */
interface ReadIndexResponse {
  readonly group: string;
  readonly index: number;
  readonly ageMs: number;
}

interface ReadIndexRequest {
  /** The read index must be younger than this, ms. */
  readonly maxAgeMs: number;
  /** Number of times that the request may still be forwarded. */
  readonly hops: number;
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Requests a read index that is young enough. Faults: busy if there is none. Idempotent: it only reads. */
    "config.readIndex": RpcMethod<ReadIndexRequest, ReadIndexResponse>;
  }
}

/** Callbacks to the process that the confirmation runs in. */
export interface ReadIndexConfirmationHooks {
  /** Returns this process's own read index if it is the control leader and holds the lease. */
  own(): ReadIndex | undefined;
  /** Returns the address to send this attempt to; undefined if there is none. */
  source(attempt: number): string | undefined;
  /** Returns the configuration that this process would serve. */
  configuration(): ControlSnapshot | undefined;
  /** Called when a member is known to have a configuration with this index. */
  announced(address: string, index: number): void;
}

/** The pause between attempts varies by 20% in both directions, so that processes do not retry in lockstep. */
const RETRY_JITTER_LOW = 0.8;
const RETRY_JITTER_SPREAD = 0.4;

/**
 * Confirms that the configuration of this process is current. A process that has just started or was frozen may be on
 * the minority side of a partition, where every process that it reaches has an outdated configuration. It therefore
 * serves nothing until it has a read index of the control leader from after its start or freeze, and a configuration at
 * least as new. A confirmation is valid until the next freeze, so that a consensus group without a leader does not stop
 * running processes.
 *
 * A read index is accepted only from the response to this process's own request, and its time is counted from before
 * the request. It is therefore never taken for younger than it is, even if a message was delayed in a buffer or a
 * frozen process.
 *
 * @example
 * const confirmation = new ReadIndexConfirmation(env, rpc, hooks);
 * confirmation.start();
 * if (!confirmation.isConfirmed()) return "configuration not confirmed";
 */
export class ReadIndexConfirmation {
  /** Only a read index from after this time confirms the configuration, monotonic ms. */
  private requiredAfter: number;
  private wasConfirmed = false;
  private latest: ReadIndex | undefined;
  /** Addresses with a request in progress. */
  private readonly pendingAddresses = new Set<string>();
  /** Channel that closes when the forwarded request in progress has ended. */
  private refreshing: Chan<true> | undefined;
  private readonly confirmationDue: Chan<true> = Csp.sliding(1);

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    private readonly hooks: ReadIndexConfirmationHooks,
  ) {
    this.requiredAfter = env.monotonicMs();
  }

  /** Starts the task that requests a read index after the start and after each freeze. */
  start(): void {
    Csp.offer(this.confirmationDue, true);
    EnvironmentTools.runSupervised(this.env, this.env.scope, "configuration confirmation", () => this.confirmLoop());
  }

  /** Registers the handler of other processes' requests for a read index. */
  serve(): void {
    this.rpc.handle("config.readIndex", (request) => this.onRequest(request));
  }

  /** Requires a new confirmation, by a read index from after this call. */
  invalidate(): void {
    this.requiredAfter = this.env.monotonicMs();
    this.wasConfirmed = false;
    Csp.offer(this.confirmationDue, true);
  }

  /** Whether the configuration is confirmed. */
  isConfirmed(): boolean {
    if (this.wasConfirmed) return true;
    if (this.confirmedAt() <= this.requiredAfter) return false;
    this.wasConfirmed = true;
    this.env.log(1603, {
      index: this.hooks.configuration()!.index,
      afterMs: Math.round(this.env.monotonicMs() - this.requiredAfter),
    });
    return true;
  }

  /** The time of the newest read index, monotonic ms; -Infinity if this process has no configuration as new as that. */
  confirmedAt(): number {
    const own = this.hooks.own();
    if (own) this.record(own);
    const { latest } = this;
    const configuration = this.hooks.configuration();
    if (!latest || !configuration) return -Infinity;
    return latest.group === configuration.group && latest.index <= configuration.index ? latest.at : -Infinity;
  }

  /** Requests a read index that is younger than the given age from one member; does not wait for the response. */
  requestReadIndex(attempt: number, maxAgeMs: number): void {
    const address = this.hooks.source(attempt);
    if (address === undefined || this.pendingAddresses.has(address)) return;
    Csp.go(this.env.scope, "read index request", () => this.requestFrom(address, maxAgeMs));
  }

  /** Records the newest read index; ignores one of a superseded consensus group. */
  private record(readIndex: ReadIndex): void {
    const { latest } = this;
    if (latest && latest.group !== readIndex.group && GroupRecovery.supersedes(latest.group, readIndex.group)) return;
    if (!latest || latest.group !== readIndex.group || readIndex.at > latest.at) this.latest = readIndex;
  }

  private *confirmLoop(): Task<void> {
    for (;;) {
      yield* Csp.take(this.confirmationDue);
      for (let attempt = 0; !this.isConfirmed(); attempt += 1) {
        this.requestReadIndex(attempt, this.env.monotonicMs() - this.requiredAfter);
        yield* EnvironmentTools.sleep(
          this.env,
          Constants.readIndexRetryMs * (RETRY_JITTER_LOW + RETRY_JITTER_SPREAD * this.env.random()),
        );
      }
    }
  }

  private *requestFrom(address: string, maxAgeMs: number): Task<void> {
    this.pendingAddresses.add(address);
    try {
      const readIndex = yield* this.request(address, { maxAgeMs, hops: Constants.readIndexMaxHops });
      if (readIndex) this.hooks.announced(address, readIndex.index);
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
    const known = own ?? this.knownYoungerThan(request.maxAgeMs);
    if (known) return Fault.ok(this.responseOf(known));
    if (request.hops > 0) yield* this.refresh({ ...request, hops: request.hops - 1 });
    const refreshed = this.knownYoungerThan(request.maxAgeMs);
    if (refreshed) return Fault.ok(this.responseOf(refreshed));
    return Fault.busy("read index", "here", "no word of the control lead is young enough", Constants.readIndexRetryMs);
  }

  /**
   * On the leader, waits until its own read index is young enough: the next heartbeats contact a majority. Returns
   * undefined if this process is not the leader, or after a time-out.
   */
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

  private knownYoungerThan(maxAgeMs: number): ReadIndex | undefined {
    return this.latest && this.env.monotonicMs() - this.latest.at < maxAgeMs ? this.latest : undefined;
  }

  private responseOf = ({ group, index, at }: ReadIndex): ReadIndexResponse => ({
    group,
    index,
    ageMs: Math.ceil(this.env.monotonicMs() - at),
  });
  /** Forwards a request; requests that arrive meanwhile wait for the same response. */
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
