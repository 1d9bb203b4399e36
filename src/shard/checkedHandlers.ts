import { Fault, Result } from "../common/fault";
import { RequestOf, ResponseOf, TypedMethod } from "../rpc/methods";
import { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import type { ShardReplica } from "./shardReplica";

/** Methods whose request names a shard. */
export type ShardMethod = {
  [Method in TypedMethod]: RequestOf<Method> extends { shard: number } ? Method : never;
}[TypedMethod];

/**
 * Registers RPC handlers that receive only bodies that pass their check. A malformed body gets the fault "invalid".
 *
 * @example
 * const handlers = new CheckedHandlers(rpc, "node-1", (shard) => replicas.get(shard));
 * handlers.forShard("work.read", isReadRequest, (replica, body) => reader.read(replica, body));
 */
export class CheckedHandlers {
  /** @param replicaOf returns this node's replica of a shard, and creates it if there is none */
  constructor(
    private readonly rpc: Rpc,
    private readonly selfId: string,
    private readonly replicaOf: (shard: number) => ShardReplica,
  ) {}

  /** Registers the handler of a method. */
  add<Method extends TypedMethod>(
    method: Method,
    isRequest: (body: unknown) => body is RequestOf<Method>,
    handler: (body: RequestOf<Method>) => Task<Result<ResponseOf<Method>>>,
  ): void {
    const name: string = method;
    this.rpc.handle(name, (body: unknown) => (isRequest(body) ? handler(body) : this.malformed(method)));
  }

  /**
   * Registers the handler of a method that concerns one shard. The handler receives this node's replica of the shard.
   */
  forShard<Method extends ShardMethod>(
    method: Method,
    isRequest: (body: unknown) => body is RequestOf<Method> & { shard: number },
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
