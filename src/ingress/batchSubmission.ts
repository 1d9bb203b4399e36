import type { JobSubmission, JsonItemsJob, SubmittedItem } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Hash } from "../common/hash";
import { Stamp } from "../common/stamp";
import { Route } from "../controlState/configuration";
import { DirectHttp } from "../forwarding/directHttp";
import { firstMatchingRule } from "../routing/policyRules";
import { Task } from "../runtime/csp";
import { Cause, ItemRequest, BatchJobSpec, PutOutcome } from "../shard/shardTypes";
import type { EndJobResponse, SubmitJobResponse } from "../storage/messages/batchJobMessages";
import { BatchJobContext } from "./batchJobContext";
import { callJobLeader } from "./jobLeaderCall";

/** Priority of a job if neither a policy nor its route sets one. */
const DEFAULT_PRIORITY = 100;
/** Time-out of one attempt to submit JSON items, in ms. */
const JSON_ITEMS_ATTEMPT_TIMEOUT_MS = 2000;

const lowerCaseNames = (headers: Record<string, string>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).map(([name, value]) => [name.toLowerCase(), String(value)]));

/** Tells the caller that the submission has no effect and that it should retry. */
const rejected = (fault: Fault): Result<never> =>
  Fault.busy("hand in", fault.member, fault.detail, Constants.retryAfterMs);

/** A job as it is sent to its shard, and the configuration and policy that admitted it. */
export interface PreparedJob {
  job: BatchJobSpec;
  cause: Cause;
}

/** Submits batch jobs to their shards, and ends them. */
export class BatchSubmission implements JobSubmission {
  constructor(private readonly context: BatchJobContext) {}

  *submit(
    id: string,
    routeName: string,
    route: Route,
    items: SubmittedItem[],
    withinMs: number,
  ): Task<Result<SubmitJobResponse>> {
    const { env, shardClient } = this.context;
    const arrival = shardClient.stamp(env.wallClockMs());
    const bounds = this.context.snapshot().control?.manifest.doc.clock ?? Stamp.defaults;
    if (!Stamp.admits(arrival.time, env.wallClockMs(), bounds))
      return Fault.busy("stamp", "ingress", "our stamps are ahead of our clock", Constants.retryAfterMs);
    const { job, cause } = this.prepare(id, routeName, route, items);
    const incarnation = Stamp.text(arrival);
    let attempts = 0;
    const response = yield* shardClient.callLeader(
      shardClient.shardOf(id),
      "lot.handIn",
      () => {
        attempts += 1;
        return {
          stamp: attempts === 1 ? arrival : shardClient.stamp(env.wallClockMs()),
          life: incarnation,
          lot: job,
          cause,
        };
      },
      withinMs,
      Constants.jobSubmissionAttemptMs,
    );
    return response.ok ? response : yield* this.settleFault(id, response.fault, attempts);
  }

  /** Ensures that a failed submission has no effect if it may have arrived. */
  private *settleFault(id: string, fault: Fault, attempts: number): Task<Result<SubmitJobResponse>> {
    switch (fault.tag) {
      case "timeout":
      case "refused":
      case "notLead":
      case "late":
        return rejected(fault); // No attempt can have arrived in time.
      case "busy":
        // An earlier attempt may still arrive.
        return attempts === 1 ? { ok: false, fault } : yield* this.refuse(id, fault);
      case "unknown":
        return yield* this.refuse(id, fault);
      default:
        return { ok: false, fault };
    }
  }

  /** Builds the job as it is sent to its shard, with its priority by policy or route. */
  prepare(id: string, routeName: string, route: Route, items: SubmittedItem[]): PreparedJob {
    const { control } = this.context.snapshot();
    const policies = control?.policies;
    const subject = { route: routeName, kind: route.kind, caller: "" };
    const rule = firstMatchingRule(subject, policies?.doc ?? [], (each) => each.order !== undefined);
    const { origin: _origin, ...kept } = route;
    const requests = items.map(({ id: item, target, headers, tokens }): ItemRequest => ({
      id: item,
      target,
      headers: DirectHttp.endToEnd(lowerCaseNames(headers)),
      tokens,
    }));
    const bodies = items.map((item) => item.body);
    const policy = rule ? `line ${policies!.doc.indexOf(rule) + 1} of version ${policies!.version}` : undefined;
    return {
      job: {
        id,
        binding: routeName,
        bodyHash: Hash.text(JSON.stringify([routeName, requests, bodies])),
        bodies,
        requests,
        safe: true,
        order: rule?.order ?? route.order ?? DEFAULT_PRIORITY,
        kept,
        since: control?.manifest.version ?? 0,
      },
      cause: { manifest: control?.manifest.version, ...(policy ? { policy } : {}) },
    };
  }

  /**
   * Marks a submission with an unknown outcome as refused at its shard, unless the shard has already accepted the job. If
   * the shard cannot be reached either, the fault is "unknown".
   */
  *refuse(id: string, fault: Fault): Task<Result<SubmitJobResponse>> {
    const { env, shardClient } = this.context;
    const response = yield* shardClient.callLeader(
      shardClient.shardOf(id),
      "lot.refuse",
      () => ({ id, stamp: shardClient.stamp(env.wallClockMs()) }),
      Constants.jobRejectTimeoutMs,
    );
    if (!response.ok) return Fault.fail("unknown", "hand in", fault.member, fault.detail);
    if (!response.value.refused) return Fault.ok({ tag: "exists", same: true, state: "" });
    return fault.tag === "busy" ? { ok: false, fault } : rejected(fault);
  }

  *submitJsonItems({ id, route, bodies }: JsonItemsJob, arrival: Stamp): Task<Result<PutOutcome>> {
    const { env, shardClient } = this.context;
    const job = {
      id,
      binding: route.name,
      bodyHash: Hash.text(JSON.stringify([route.name, bodies])),
      bodies,
      safe: route.route.safe,
      order: route.order,
      kept: route.route,
    };
    let attempts = 0;
    const response = yield* shardClient.callLeader(
      shardClient.shardOf(id),
      "lot.accept",
      () => {
        attempts += 1;
        return { stamp: attempts === 1 ? arrival : shardClient.stamp(env.wallClockMs()), lot: job, cause: route.cause };
      },
      Constants.jobSubmissionTimeoutMs,
      JSON_ITEMS_ATTEMPT_TIMEOUT_MS,
      Constants.leaderSearchTimeoutMs,
    );
    if (response.ok || response.fault.tag === "busy" || response.fault.tag === "unknown") return response;
    return Fault.busy("accept lot", response.fault.member, response.fault.detail, 2 * Constants.retryAfterMs);
  }

  *end(id: string, by: string): Task<Result<EndJobResponse>> {
    const { env, shardClient } = this.context;
    const response = yield* shardClient.callLeader(
      shardClient.shardOf(id),
      "lot.end",
      () => ({ id, stamp: shardClient.stamp(env.wallClockMs()), by }),
      Constants.jobLeaderSearchMs,
    );
    if (response.ok) return response;
    const { tag, member, detail } = response.fault;
    if (tag === "notFound" || tag === "gone" || tag === "unknown") return response;
    return Fault.busy("end lot", member, detail, Constants.retryAfterMs);
  }

  endWithShortTimeout(id: string, by: string): Task<Result<EndJobResponse>> {
    const { env, shardClient } = this.context;
    return callJobLeader(shardClient, "lot.end", id, () => ({ stamp: shardClient.stamp(env.wallClockMs()), by }));
  }
}
