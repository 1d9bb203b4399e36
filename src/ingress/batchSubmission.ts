import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { DirectHttp } from "../forwarding/directHttp";
import { firstMatchingRule } from "../routing/policyRules";
import { Fault, Result } from "../common/fault";
import { ClusterSnapshot } from "../node/clusterSnapshot";
import { Hash } from "../common/hash";
import { Stamp } from "../common/stamp";
import { Route } from "../controlState/configuration";
import { Cause, ItemRequest, BatchJobSpec } from "../shard/shardTypes";
import type { ItemBodyResponse, JobResultPage, SubmitJobResponse } from "../storage/messages/batchJobMessages";
import { ShardClient } from "../storage/shardClient";
import { RequestOf, ResponseOf } from "../rpc/methods";
import { Rpc } from "../rpc/rpc";

/** What lots need of the process that takes them in. */
export type BatchSubmissionHost = {
  readonly env: Env;
  readonly rpc: Rpc;
  readonly shardClient: ShardClient;
  readonly settings?: { district: string };
  snapshot(): ClusterSnapshot;
};
/** An item as it is handed in: a whole request, its body in base64. */
export type SubmittedItem = ItemRequest & { body: string };

const lowered = (headers: Record<string, string>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).map(([name, value]) => [name.toLowerCase(), String(value)]));
/** What can't be told otherwise: it never ran and never will, come again. */
const busy = (fault: Fault): Result<never> => Fault.busy("hand in", fault.member, fault.detail, Constants.retryAfterMs);

/**
 * Lots whose items are whole requests, as an ingress takes them in: handed in, listed, looked into, ended.
 *
 * @example
 * const handed = yield* LotIntake.handIn(ingress, "lot-17", "audit", binding, items, 3000);
 * const listing = yield* LotIntake.list(ingress, "lot-17", 0, 1000);
 */
export const BatchSubmission = {
  /**
   * Ok once the lot stands on every copy of its shard. "busy" promises that this arrival of it never will, with the step
   * "quota" if it didn't fit; "unknown" promises nothing.
   * @example yield* LotIntake.handIn(ingress, "lot-17", "audit", binding, items, 3000)
   */
  *submit(
    host: BatchSubmissionHost,
    id: string,
    name: string,
    route: Route,
    items: SubmittedItem[],
    withinMs: number,
  ): Task<Result<SubmitJobResponse>> {
    const { env, shardClient } = host;
    const arrival = shardClient.stamp(env.wall());
    const control = host.snapshot().control;
    if (!Stamp.admits(arrival.time, env.wall(), control?.manifest.doc.clock ?? Stamp.defaults))
      return Fault.busy("stamp", "ingress", "our stamps are ahead of our clock", Constants.retryAfterMs);
    const { lot: job, cause } = BatchSubmission.toJob(host, id, name, route, items);
    const life = Stamp.text(arrival);
    let attempts = 0;
    const handed = yield* shardClient.callLeader(
      shardClient.shardOf(id),
      "lot.handIn",
      () => {
        attempts += 1;
        return { stamp: attempts === 1 ? arrival : shardClient.stamp(env.wall()), life, lot: job, cause };
      },
      withinMs,
      Constants.jobAttemptMs,
    );
    if (handed.ok) return handed;
    switch (handed.fault.tag) {
      case "timeout":
      case "refused":
      case "notLead":
      case "late":
        return busy(handed.fault); // nothing of it can have arrived in time
      case "busy":
        // an earlier round of ours may still be on its way
        return attempts === 1 ? handed : yield* BatchSubmission.refuse(host, id, handed.fault);
      case "unknown":
        return yield* BatchSubmission.refuse(host, id, handed.fault);
      default:
        return handed;
    }
  },
  /** The lot as it is put, and what it was taken in by. @example LotIntake.order(host, "lot-17", "audit", binding, items).lot */
  toJob(
    host: BatchSubmissionHost,
    id: string,
    name: string,
    route: Route,
    items: SubmittedItem[],
  ): { lot: BatchJobSpec; cause: Cause } {
    const { control } = host.snapshot();
    const policies = control?.policies;
    const line = firstMatchingRule(
      { route: name, kind: route.kind, caller: "" },
      policies?.doc ?? [],
      (each) => each.order !== undefined,
    );
    const { origin: _origin, ...kept } = route;
    const requests = items.map(({ id: item, target, headers, tokens }): ItemRequest => ({
      id: item,
      target,
      headers: DirectHttp.endToEnd(lowered(headers)),
      tokens,
    }));
    const bodies = items.map((item) => item.body);
    const cause: Cause = {
      manifest: control?.manifest.version,
      ...(line ? { policy: `line ${policies!.doc.indexOf(line) + 1} of version ${policies!.version}` } : {}),
    };
    return {
      lot: {
        id,
        binding: name,
        bodyHash: Hash.text(JSON.stringify([name, requests, bodies])),
        bodies,
        requests,
        safe: true,
        order: line?.order ?? route.order ?? 100,
        kept,
        since: control?.manifest.version ?? 0,
      },
      cause,
    };
  },
  /** Its fate is not known: it is closed as refused at its shard, or found to be kept; else nothing can be said. */
  *refuse(host: BatchSubmissionHost, id: string, fault: Fault): Task<Result<SubmitJobResponse>> {
    const { env, shardClient } = host;
    const refused = yield* shardClient.callLeader(
      shardClient.shardOf(id),
      "lot.refuse",
      () => ({ id, stamp: shardClient.stamp(env.wall()) }),
      Constants.jobRefuseMs,
    );
    if (!refused.ok) return Fault.fail("unknown", "hand in", fault.member, fault.detail);
    if (!refused.value.refused) return Fault.ok({ tag: "exists", same: true, state: "" });
    return fault.tag === "busy" ? { ok: false, fault } : busy(fault);
  },
  /** Results from a position on, from a member of the lot's shard in our district, else any. "notFound" is certain, all else is "busy". @example yield* LotIntake.list(ingress, "lot-17", 0, 1000) */
  list: (host: BatchSubmissionHost, id: string, from: number, waitMs: number): Task<Result<JobResultPage>> =>
    BatchSubmission.callReplicas(host, id, "lot.list", { from, waitMs }, waitMs),
  /** The body, in base64, of an item that is not listed yet. @example yield* LotIntake.itemBody(ingress, "lot-17", "i1") */
  itemBody: (host: BatchSubmissionHost, id: string, item: string): Task<Result<ItemBodyResponse>> =>
    BatchSubmission.callReplicas(host, id, "lot.itemBody", { item }, 0),
  /** Ends a lot, as often as it is asked. @example yield* LotIntake.end(ingress, "lot-17", "caller") */
  *end(host: BatchSubmissionHost, id: string, by: string): Task<Result<{ ended: true }>> {
    const { env, shardClient } = host;
    const ended = yield* shardClient.callLeader(
      shardClient.shardOf(id),
      "lot.end",
      () => ({ id, stamp: shardClient.stamp(env.wall()), by }),
      Constants.jobHoldMs,
    );
    if (ended.ok || ended.fault.tag === "notFound" || ended.fault.tag === "gone" || ended.fault.tag === "unknown")
      return ended;
    return Fault.busy("end lot", ended.fault.member, ended.fault.detail, Constants.retryAfterMs);
  },
  *callReplicas<Method extends "lot.list" | "lot.itemBody">(
    host: BatchSubmissionHost,
    id: string,
    verb: Method,
    body: Omit<RequestOf<Method>, "shard" | "id" | "anyAge">,
    waitMs: number,
  ): Task<Result<ResponseOf<Method>>> {
    const { env, shardClient, rpc } = host;
    const shard = shardClient.shardOf(id);
    const until = env.mono() + waitMs + Constants.jobReadMs;
    let last: Result<ResponseOf<Method>> = Fault.fail("timeout", verb, `shard ${shard}`, "no view is known");
    for (let attempt = 0; ; attempt += 1) {
      const snapshot = host.snapshot();
      const view = snapshot.control?.views[shard];
      const members = (view?.members ?? []).flatMap((id) => snapshot.members.find((each) => each.id === id) ?? []);
      // what is listed is much: rather from nearby than from the lead, who is asked next
      const near = verb === "lot.list" && attempt === 0 ? host.settings?.district : undefined;
      const rank = ({ id, district: zone }: { id: string; district: string }): number =>
        zone === near ? 0 : id === view!.lead ? 1 : 2;
      for (const { address } of members.sort((left, right) => rank(left) - rank(right))) {
        const left = until - env.mono();
        if (left <= 0) continue;
        last = yield* rpc.call(
          address,
          verb,
          { ...body, shard, id, anyAge: attempt > 0 } as RequestOf<Method>,
          Math.min(left, waitMs + Constants.jobReadAttemptMs),
          () => host.snapshot().control?.views[shard]?.epoch !== view?.epoch,
        );
        if (last.ok || last.fault.tag === "notFound" || last.fault.tag === "gone") return last;
      }
      if (env.mono() + 100 >= until) break;
      yield* EnvTools.sleep(env, 100);
    }
    return last.ok ? last : Fault.busy(verb, last.fault.member, last.fault.detail, Constants.retryAfterMs);
  },
};
