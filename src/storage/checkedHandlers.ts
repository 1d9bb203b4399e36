import { Fault, Result } from "../common/fault";
import { RequestOf, ResponseOf, TypedMethod } from "../rpc/methods";
import { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import { ShardReplica } from "../shard/shardReplica";
import { ShardRequest } from "./messages/shardMessages";

/**
 * Registers handlers that see only bodies of the right form. A malformed body gets the fault "invalid".
 *
 * @example
 * handlers.forShard("work.read", isReadRequest, (replica, body) => reader.read(replica, body));
 */
export class CheckedHandlers {
  constructor(
    private readonly rpc: Rpc,
    private readonly selfId: string,
    private readonly replicaOf: (shard: number) => ShardReplica,
  ) {}

  /** Sets the handler of a method. */
  add<Method extends TypedMethod>(
    method: Method,
    isRequest: (body: unknown) => body is RequestOf<Method>,
    handler: (body: RequestOf<Method>) => Task<Result<ResponseOf<Method>>>,
  ): void {
    const name: string = method;
    this.rpc.handle(name, (body: unknown) => (isRequest(body) ? handler(body) : this.malformed(method)));
  }

  /** Sets the handler of a method about one shard; it gets this node's replica of the shard, made if there is none. */
  forShard<Method extends TypedMethod>(
    method: Method,
    isRequest: (body: unknown) => body is RequestOf<Method> & ShardRequest,
    handler: (replica: ShardReplica, body: RequestOf<Method>) => Task<Result<ResponseOf<Method>>>,
  ): void {
    const name: string = method;
    this.rpc.handle(name, (body: unknown) =>
      isRequest(body) ? handler(this.replicaOf(body.shard), body) : this.malformed(method),
    );
  }

  private *malformed(method: string): Task<Result<never>> {
    return Fault.fail("invalid", method, this.selfId, "malformed request");
  }
}
