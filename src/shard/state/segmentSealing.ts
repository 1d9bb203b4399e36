/**
 * Seals the oldest closed objects of a shard into segments. Sealing depends only on the log, so that every replica
 * seals the same objects under the same segment number.
 */
import invariant from "tiny-invariant";
import { Constants } from "../../common/constants";
import { LedgerIndex } from "./ledgerIndex";
import type { PendingSegment, SegmentKind } from "../segments/segmentTypes";
import type { ShardData } from "./shardData";

function addSegment(data: ShardData, kind: SegmentKind, objects: PendingSegment["objects"]): void {
  invariant(
    objects.every((object) => object !== undefined),
    "a closed object stays in memory until it is sealed",
  );
  const segment: PendingSegment = { kind, number: data.segmentCounts[kind], objects };
  data.segmentCounts[kind] += 1;
  data.pendingSegments.push(segment);
  data.sealedObjects.add(segment);
}

function sealRequests(data: ShardData, perSegment: number): void {
  while (data.closedRequests.length >= perSegment * 2) {
    const ids = data.closedRequests.splice(0, perSegment);
    addSegment(
      data,
      "works",
      ids.map((id) => data.liveRequests.get(id)!),
    );
    for (const id of ids) data.liveRequests.delete(id);
  }
}

/** The positions of a job's results are final once the log clock has passed the last result. */
const isFinal = (data: ShardData, jobId: string): boolean => data.jobs.get(jobId)!.closedAt!.time <= data.logClock;

function sealJobs(data: ShardData, perSegment: number): void {
  while (
    data.closedJobs.length >= perSegment * 2 &&
    data.closedJobs.slice(0, perSegment).every((id) => isFinal(data, id))
  ) {
    const ids = data.closedJobs.splice(0, perSegment);
    // The results have long been listed, so that nobody reads the item bodies any more.
    for (const id of ids) data.jobs.get(id)!.bodies = [];
    data.jobsWithBodies = data.jobsWithBodies.filter((id) => !ids.includes(id));
    addSegment(
      data,
      "lots",
      ids.map((id) => data.jobs.get(id)!),
    );
    for (const id of ids) data.jobs.delete(id);
  }
}

function sealLedger(data: ShardData, perSegment: number): void {
  const finalEntries = (): number => LedgerIndex.firstAfter(data, { time: data.logClock + 0.5, node: "", seq: 0 });
  while (finalEntries() >= perSegment * 2) addSegment(data, "ledger", data.ledger.splice(0, perSegment));
}

/**
 * Seals the oldest closed objects, a segment at a time, while there are enough for two. The rest stays in memory for
 * reads.
 */
export function sealSegments(data: ShardData): void {
  const { works, lots, ledger } = Constants.segmentObjects;
  sealRequests(data, works);
  sealJobs(data, lots);
  sealLedger(data, ledger);
}
