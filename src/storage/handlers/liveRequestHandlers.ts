/** RPC handlers of live requests (`work.*`). */
import { Fault } from "../../common/fault";
import { CheckedHandlers } from "../../shard/checkedHandlers";
import { LiveRequestAdmission } from "../liveRequests/liveRequestAdmission";
import { LiveRequestReader } from "../liveRequests/liveRequestReader";
import { isOpenRequest, isReadRequest, isRefuseRequest, isRunningRequest } from "../messages/liveRequestMessages";

/**
 * @param running names of the requests and items that this node executes under a claim
 * @param onArrival called with the stamp time of each request that is opened
 */
export function addLiveRequestHandlers(
  handlers: CheckedHandlers,
  admission: LiveRequestAdmission,
  reader: LiveRequestReader,
  running: ReadonlySet<string>,
  onArrival: (stampTime: number) => void,
): void {
  handlers.forShard("work.open", isOpenRequest, (replica, body) => {
    onArrival(body.stamp.time);
    return admission.open(replica, body);
  });
  handlers.forShard("work.read", isReadRequest, (replica, body) => reader.read(replica, body));
  handlers.forShard("work.refuse", isRefuseRequest, (replica, body) => admission.refuse(replica, body));
  handlers.add("work.running", isRunningRequest, function* ({ ids }) {
    return Fault.ok({ running: ids.filter((id) => running.has(id)) });
  });
}
