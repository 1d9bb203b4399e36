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
 * Reads of live requests at the leader of their shard: chunks are visible as soon as they are on every replica.
 *
 * @example
 * const response = yield* reader.read(replica, { shard: 3, id: "req-1", after: 3, waitMs: 800 });
 */
export class LiveRequestReader {
  private readonly waiting = new Map<string, Chan<true>[]>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
  ) {}

  /** Wakes the readers that wait for a change of the request. */
  wake(id: string): void {
    for (const reader of this.waiting.get(id) ?? []) Csp.offer(reader, true);
  }

  /** Responds once there is a further chunk, the request is closed, or the time is up. */
  *read(replica: ShardReplica, { id, after, waitMs }: ReadRequest): Task<Result<ReadResponse>> {
    const until = this.env.monotonicMs() + waitMs;
    const wake = this.addReader(id);
    try {
      for (;;) {
        if (!replica.holdsLease()) return notLeaderFault(this.node, replica, "read");
        const found = yield* replica.liveRequest(id);
        if (!found.ok) return found;
        const request = found.value;
        if (!request) return Fault.fail("notFound", "read", this.node.self.id, `no request ${id}`);
        if (request.pieces.length > after || isClosed(request) || this.env.monotonicMs() >= until)
          return Fault.ok(responseOf(request, after));
        yield* EnvironmentTools.takeWithin(this.env, wake, until - this.env.monotonicMs());
      }
    } finally {
      this.removeReader(id, wake);
    }
  }

  private addReader(id: string): Chan<true> {
    const wake = Csp.sliding<true>(1);
    this.waiting.set(id, [...(this.waiting.get(id) ?? []), wake]);
    return wake;
  }

  private removeReader(id: string, wake: Chan<true>): void {
    const others = (this.waiting.get(id) ?? []).filter((reader) => reader !== wake);
    if (others.length > 0) this.waiting.set(id, others);
    else this.waiting.delete(id);
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
