/** RPC handlers of batch jobs (`lot.*`) and of their quota (`quota.*`). */
import { Fault } from "../../common/fault";
import { BatchJobReads } from "../batchJobs/batchJobReads";
import { BatchJobs } from "../batchJobs/batchJobs";
import { CheckedHandlers } from "../../shard/checkedHandlers";
import { ClaimedItemJobs } from "../claimedItems/claimedItemJobs";
import {
  isAcceptJobRequest,
  isEndJobRequest,
  isItemBodyRequest,
  isJobResultsRequest,
  isJobStatusRequest,
  isListJobRequest,
  isSubmitJobRequest,
} from "../messages/batchJobMessages";
import { isRefuseRequest } from "../messages/liveRequestMessages";
import { isQuotaReservation, isUsageRequest } from "../messages/quotaMessages";
import { QuotaOwner } from "../quota/quotaOwner";
import { UsageReports } from "../quota/usageReports";

/** @param onArrival called with the stamp time of each submitted job */
export function addBatchJobHandlers(
  handlers: CheckedHandlers,
  jobs: BatchJobs,
  reads: BatchJobReads,
  claimedItemJobs: ClaimedItemJobs,
  onArrival: (stampTime: number) => void,
): void {
  handlers.forShard("lot.handIn", isSubmitJobRequest, (replica, body) => {
    onArrival(body.stamp.time);
    return jobs.submit(replica, body);
  });
  handlers.forShard("lot.refuse", isRefuseRequest, (replica, body) => jobs.refuse(replica, body));
  handlers.forShard("lot.end", isEndJobRequest, (replica, body) => jobs.end(replica, body));
  handlers.forShard("lot.list", isListJobRequest, (replica, body) => reads.list(replica, body));
  handlers.forShard("lot.itemBody", isItemBodyRequest, (replica, body) => reads.itemBody(replica, body));
  handlers.forShard("lot.results", isJobResultsRequest, (replica, body) => reads.results(replica, body));
  handlers.forShard("lot.accept", isAcceptJobRequest, (replica, body) => claimedItemJobs.accept(replica, body));
  handlers.forShard("lot.status", isJobStatusRequest, (replica, body) => claimedItemJobs.status(replica, body));
}

export function addQuotaHandlers(handlers: CheckedHandlers, owner: QuotaOwner, reports: UsageReports): void {
  handlers.forShard("quota.reserve", isQuotaReservation, (replica, body) => owner.reserve(replica, body));
  handlers.add("quota.tallies", isUsageRequest, function* (body) {
    return Fault.ok({ tallies: reports.reports(body) });
  });
}
