import { Fault, Result } from "../../common/fault";
import { Node } from "../../node/node";
import { Chan, Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { isClosed } from "../../shard/state/liveRequest";
import { LiveRequest } from "../../shard/shardTypes";
import { ReadRequest, ReadResponse } from "../messages/liveRequestMessages";
import { notLeaderFault } from "../notLeaderFault";

/**
 * Reads live requests at the leader of their shard. Response chunks are visible as soon as they are on every replica.
 *
 * @example
 * const response = yield* reader.read(replica, { shard: 3, id: "req-1", after: 3, waitMs: 800 });
 */
export class LiveRequestReader {
  /** The channels that wake waiting readers, by request id. */
  private readonly readersByRequest = new Map<string, Chan<true>[]>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
  ) {}

  /** Wakes the readers that wait for a change of the request. */
  wake(id: string): void {
    for (const reader of this.readersByRequest.get(id) ?? []) Csp.offer(reader, true);
  }

  /** Responds once there is a further chunk, the request is closed, or the wait has ended. */
  *read(replica: ShardReplica, { id, after, waitMs }: ReadRequest): Task<Result<ReadResponse>> {
    const deadline = this.env.monotonicMs() + waitMs;
    const wake = this.addReader(id);
    try {
      for (;;) {
        if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "read");
        const found = yield* replica.liveRequest(id);
        if (!found.ok) return found;
        const request = found.value;
        if (!request) return Fault.fail("notFound", "read", this.node.self.id, `no request ${id}`);
        if (request.pieces.length > after || isClosed(request) || this.env.monotonicMs() >= deadline)
          return Fault.ok(responseOf(request, after));
        yield* EnvironmentTools.takeWithin(this.env, wake, deadline - this.env.monotonicMs());
      }
    } finally {
      this.removeReader(id, wake);
    }
  }

  private addReader(id: string): Chan<true> {
    const wake = Csp.sliding<true>(1);
    this.readersByRequest.set(id, [...(this.readersByRequest.get(id) ?? []), wake]);
    return wake;
  }

  private removeReader(id: string, wake: Chan<true>): void {
    const others = (this.readersByRequest.get(id) ?? []).filter((reader) => reader !== wake);
    if (others.length > 0) this.readersByRequest.set(id, others);
    else this.readersByRequest.delete(id);
  }
}

function responseOf(request: LiveRequest, after: number): ReadResponse {
  const closed = isClosed(request);
  return {
    pieces: request.pieces.slice(after).map(({ n, data }) => ({ n, data })),
    closed,
    state: request.state,
    outcome: closed ? request.outcome : "",
    bodyHash: request.bodyHash,
    binding: request.binding,
  };
}
