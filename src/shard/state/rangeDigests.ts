/** Digests of a shard's unsealed objects by hash range of their ids, for anti-entropy repair between replicas. */
import { Constants } from "../../common/constants";
import { Hash } from "../../common/hash";
import type { BatchJob } from "./batchJob";
import type { LiveRequest } from "./liveRequest";
import type { ShardData } from "./shardData";

/** Text of an object without its positions, which depend on the frontier and so differ between replicas. */
const comparedText = (object: object): string => JSON.stringify({ ...object, positions: 0 });

function repairRequest(data: ShardData, request: LiveRequest): boolean {
  const own = data.liveRequests.get(request.id);
  if ((own?.version ?? -1) > request.version || JSON.stringify(own) === JSON.stringify(request)) return false;
  data.liveRequests.set(request.id, request);
  return true;
}

function repairJob(data: ShardData, job: BatchJob): boolean {
  const own = data.jobs.get(job.id);
  if ((own?.version ?? -1) > job.version || comparedText({ ...own }) === comparedText(job)) return false;
  data.jobs.set(job.id, { ...job, positions: own?.positions ?? job.positions });
  return true;
}

/**
 * Compares and repairs replicas by hash ranges of object ids.
 *
 * @example
 * const differing = RangeDigests.of(data).flatMap((digest, range) => (digest === otherDigests[range] ? [] : [range]));
 */
export const RangeDigests = {
  /** Number of the range that an id hashes to, starting at 0. */
  rangeOf(id: string): number {
    let hash = 0;
    for (let index = 0; index < id.length; index += 1) hash = (hash * 31 + id.charCodeAt(index)) >>> 0;
    return hash % Constants.digestRanges;
  },
  /** Returns one digest per range. */
  of(data: ShardData): string[] {
    const ranges: string[][] = Array.from({ length: Constants.digestRanges }, () => []);
    for (const object of [...data.liveRequests.values(), ...data.jobs.values()])
      ranges[RangeDigests.rangeOf(object.id)].push(comparedText(object));
    return ranges.map((texts) => Hash.text(texts.sort().join("\n")));
  },
  /** Replaces each object that differs and isn't newer than the received one. Returns how many were replaced. */
  repair: (data: ShardData, requests: LiveRequest[], jobs: BatchJob[]): number =>
    requests.filter((request) => repairRequest(data, request)).length +
    jobs.filter((job) => repairJob(data, job)).length,
};
