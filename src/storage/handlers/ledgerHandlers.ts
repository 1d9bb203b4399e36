/** RPC handlers of the temporal reads of a shard's ledger. */
import { CheckedHandlers } from "../../shard/checkedHandlers";
import { LedgerReads } from "../ledgerReads";
import { isLedgerAboutRequest, isLedgerReadRequest, isTemporalGetRequest } from "../messages/shardMessages";

export function addLedgerHandlers(handlers: CheckedHandlers, reads: LedgerReads): void {
  handlers.forShard("ledger.read", isLedgerReadRequest, (replica, body) => reads.read(replica, body));
  handlers.forShard("ledger.about", isLedgerAboutRequest, (replica, body) => reads.about(replica, body));
  handlers.forShard("temporal.get", isTemporalGetRequest, (replica, body) => reads.nearestVersion(replica, body));
}
