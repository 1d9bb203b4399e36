import { Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { RequestOf, ResponseOf, RpcHandler, TypedMethod, UntypedMethod } from "./methods";
import { RpcClient } from "./rpcClient";
import { RpcServer } from "./rpcServer";

/**
 * Requests and responses between the members of a cluster: a client and a server in one, over one connection a pair and
 * direction. Bodies are checked by the compiler where the method has an entry in `RpcMethods`.
 *
 * @example
 * const rpc = new Rpc(env, "kiln", "node-1");
 * rpc.handle("echo", function* (body) { return Fault.ok(body); });
 * yield* rpc.serve("127.0.0.1:7001");
 * const response = yield* rpc.call("127.0.0.1:7002", "echo", { a: 1 }, 500);
 */
export class Rpc {
  private readonly client: RpcClient;
  private readonly server: RpcServer;

  constructor(env: Environment, cluster: string, selfId: string) {
    this.client = new RpcClient(env, cluster, selfId);
    this.server = new RpcServer(env, cluster, selfId);
  }

  /** Calls sent since the start. */
  get callCount(): number {
    return this.client.callCount;
  }
  /** Responses that no call waited for any more. */
  get lateResponseCount(): number {
    return this.client.lateResponseCount;
  }

  /** Sets the handler of a method. @example rpc.handle("shard.seal", (body) => replica.onSeal(body)); */
  handle<Method extends string>(method: Method, handler: RpcHandler<Method>): void {
    this.server.handle(method, handler);
  }

  /** Listens at the address; a fault where that fails. @example yield* rpc.serve("127.0.0.1:7001"); */
  serve(address: string): Task<Result<true>> {
    return this.server.serve(address);
  }

  /**
   * Sends a request and waits for its response.
   *
   * Faults besides the handler's own: "refused" if no connection was made or the process has no handler of the method, so
   * that nothing ran; "timeout" and "broken" if the request may have arrived. A request is never sent twice.
   *
   * @param timeoutMs from now on, connecting included
   * @param isCancelled asked now and then; once true, the wait ends as by a time-out
   * @example const status = yield* rpc.call(address, "control.status", {}, 500);
   */
  call<Method extends TypedMethod>(
    address: string,
    method: Method,
    body: RequestOf<Method>,
    timeoutMs: number,
    isCancelled?: () => boolean,
  ): Task<Result<ResponseOf<Method>>>;
  /** The same for a method without an entry in `RpcMethods`: the response's type is the caller's claim. */
  call<Response = unknown, Method extends string = string>(
    address: string,
    method: UntypedMethod<Method>,
    body: unknown,
    timeoutMs: number,
    isCancelled?: () => boolean,
  ): Task<Result<Response>>;
  call(
    address: string,
    method: string,
    body: unknown,
    timeoutMs: number,
    isCancelled?: () => boolean,
  ): Task<Result<unknown>> {
    return this.client.call(address, method, body, timeoutMs, isCancelled);
  }

  /**
   * Sends a request that wants no response to several members. It may be lost with its connection.
   * @example rpc.notify([address], "news.push", push);
   */
  notify<Method extends string>(
    addresses: readonly string[],
    method: Method,
    body: Method extends TypedMethod ? RequestOf<Method> : unknown,
  ): void {
    this.client.notify(addresses, method, body);
  }

  /**
   * Closes the connection to a member that may be unreachable, unless a call is pending on it: that ends it by itself.
   * @example rpc.closeIfIdle(address);
   */
  closeIfIdle(address: string): void {
    this.client.closeIfIdle(address);
  }

  /** Closes connections that were not used for so long. @example rpc.closeUnused(30_000); */
  closeUnused(unusedMs: number): void {
    this.client.closeUnused(unusedMs);
  }
}
