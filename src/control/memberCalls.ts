import { Node } from "../node/node";
import { Csp, Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { StoreStatuses } from "./storeStatuses";

/** A request to several members of a view. */
export interface MemberRequest {
  /** Ids of the members to call. */
  members: string[];
  method: string;
  body: Record<string, unknown>;
  timeoutMs: number;
  /** Whether a call is cancelled once its member no longer responds to status polls. */
  cancelIfUnresponsive?: boolean;
}

/** Capacity of the channel on which calls report completion; it exceeds the number of members of any view. */
const DONE_CHANNEL_CAPACITY = 16;

/** Calls members of a view concurrently. */
export class MemberCalls {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly statuses: StoreStatuses,
  ) {}

  /**
   * Returns the successful responses with the ids of their members. It waits for the members that responded to the last
   * status poll, or for all if none did; a response from another member is included if it arrives in the meantime.
   */
  *callAll<Response extends object>(request: MemberRequest): Task<(Response & { id: string })[]> {
    const { members, method, body, timeoutMs, cancelIfUnresponsive = false } = request;
    const { isResponsive } = this.statuses;
    const responses: (Response & { id: string })[] = [];
    const done = Csp.chan<string>(DONE_CHANNEL_CAPACITY);
    const { node } = this;
    for (const id of members)
      Csp.go(this.env.scope, `${method} at ${id}`, function* () {
        const address = node.addressOf(id);
        const isCancelled = cancelIfUnresponsive ? (): boolean => !isResponsive(id) : undefined;
        const response = address
          ? yield* node.rpc.call<Response>(address, method, body, timeoutMs, isCancelled)
          : undefined;
        if (response?.ok) responses.push({ id, ...response.value });
        Csp.offer(done, id);
      });
    const awaited = new Set(members.some(isResponsive) ? members.filter(isResponsive) : members);
    while (awaited.size > 0) awaited.delete((yield* Csp.take(done))!);
    return responses;
  }
}
