import type { AdmittedRequest, LiveRequests } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Hash } from "../common/hash";
import { Stamp } from "../common/stamp";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import type { OpenResponse, ReadResponse } from "../storage/messages/liveRequestMessages";
import { ShardClient } from "../storage/shardClient";
import type { AgentLink } from "./agentLink";
import { IngressAdmission } from "./ingressAdmission";

/** Time-out of one attempt to open a request, in ms. */
const OPEN_ATTEMPT_TIMEOUT_MS = 2000;
/** Time-out of the refusal of a request whose opening has an unknown outcome, in ms. */
const REFUSE_TIMEOUT_MS = 1500;
/** How much longer than the requested wait a read may take, in ms. */
const READ_GRACE_MS = 700;

/**
 * Opens live requests at their shards, and reads their progress from there.
 *
 * @example
 * const arrival = liveRequests.stampArrival();
 * if (arrival.ok) yield* liveRequests.open("req-1", admitted, body, false, arrival.value);
 */
export class ShardLiveRequests implements LiveRequests {
  constructor(
    private readonly env: Environment,
    private readonly link: AgentLink,
    private readonly shardClient: ShardClient,
    private readonly admission: IngressAdmission,
  ) {}

  idOfKey(routeName: string, key: string): string {
    return `key-${Hash.text(`${routeName}\n${key}`)}`;
  }

  /** Checks the clock bounds as well, since the ingress is the first node that a request reaches. */
  stampArrival(): Result<Stamp> {
    const stamp = this.shardClient.stamp(this.env.wallClockMs());
    const bounds = this.link.snapshot().control?.manifest.doc.clock ?? Stamp.defaults;
    if (!Stamp.admits(stamp.time, this.env.wallClockMs(), bounds))
      return this.admission.reject("stamp", "our stamps are ahead of our clock");
    return Fault.ok(stamp);
  }

  *open(
    id: string,
    request: AdmittedRequest,
    body: string,
    keyed: boolean,
    arrival: Stamp,
  ): Task<Result<OpenResponse>> {
    const liveRequest = {
      id,
      binding: request.name,
      bodyHash: Hash.text(body),
      body,
      keyed,
      safe: request.route.safe,
      exact: request.route.continues === "exact",
      deadlineAt: this.env.wallClockMs() + request.deadlineMs,
      order: request.order,
    };
    let attempts = 0;
    const opened = yield* this.shardClient.callLeader(
      this.shardClient.shardOf(id),
      "work.open",
      () => {
        attempts += 1;
        const stamp = attempts === 1 ? arrival : this.shardClient.stamp(this.env.wallClockMs());
        return {
          stamp,
          work: { ...liveRequest, life: Stamp.text(stamp) },
          caller: request.caller,
          cause: request.cause,
        };
      },
      request.deadlineMs,
      OPEN_ATTEMPT_TIMEOUT_MS,
      Constants.leaderSearchTimeoutMs,
    );
    if (opened.ok || opened.fault.tag === "busy") return opened;
    if (opened.fault.tag === "unknown") return (yield* this.refuse(id)) ?? opened;
    switch (opened.fault.tag) {
      case "timeout":
      case "refused":
      case "notLead":
      case "late":
        return this.admission.reject("open", opened.fault.detail);
      default:
        return opened;
    }
  }

  /** Marks a request that may be running as refused; returns undefined if it may still run or may have run. */
  private *refuse(id: string): Task<Result<never> | undefined> {
    const refused = yield* this.shardClient.callLeader(
      this.shardClient.shardOf(id),
      "work.refuse",
      () => ({ id, stamp: this.shardClient.stamp(this.env.wallClockMs()) }),
      REFUSE_TIMEOUT_MS,
    );
    if (!refused.ok || !refused.value.refused) return undefined;
    return this.admission.reject("open", "no store took it in time");
  }

  read(id: string, after: number, waitMs: number, withinMs: number): Task<Result<ReadResponse>> {
    return this.shardClient.callLeader(
      this.shardClient.shardOf(id),
      "work.read",
      () => ({ id, after, waitMs }),
      withinMs,
      waitMs + READ_GRACE_MS,
    );
  }
}
