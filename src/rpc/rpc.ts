import { Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { RequestOf, ResponseOf, RpcHandler, TypedMethod, UntypedMethod } from "./methods";
import { RpcClient } from "./rpcClient";
import { RpcServer } from "./rpcServer";

/**
 * The RPC client and server of a process. Each member opens one connection to each member that it calls. The compiler
 * checks the bodies of methods that have an entry in `RpcMethods`.
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

  /** The number of calls since the process started. */
  get callCount(): number {
    return this.client.callCount;
  }
  /** The number of responses that arrived after their calls had ended. */
  get lateResponseCount(): number {
    return this.client.lateResponseCount;
  }

  /** Sets the handler of a method and replaces any earlier one. */
  handle<Method extends string>(method: Method, handler: RpcHandler<Method>): void {
    this.server.handle(method, handler);
  }

  /** Starts to accept requests at an address. Fault: "internal" if the process cannot listen there. */
  serve(address: string): Task<Result<true>> {
    return this.server.serve(address);
  }

  /**
   * Sends a request and waits for its response.
   *
   * Returns the faults of the handler, and: "refused" if no connection was made or the process has no handler for the
   * method, so that nothing ran; "timeout" and "broken" if the request may have arrived. A request is never sent twice.
   *
   * @param timeoutMs includes the time to connect
   * @param isCancelled polled while the call waits; once it returns true, the call fails with "timeout"
   * @example const status = yield* rpc.call(address, "control.status", {}, 500);
   */
  call<Method extends TypedMethod>(
    address: string,
    method: Method,
    body: RequestOf<Method>,
    timeoutMs: number,
    isCancelled?: () => boolean,
  ): Task<Result<ResponseOf<Method>>>;
  /** The same for a method without an entry in `RpcMethods`; the type of the response is not checked. */
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
   * Sends a request without a response to several members. It is lost if its connection ends.
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
   * Closes the connection to a member that may be unreachable, unless a call is pending on it: the time-out of that
   * call closes the connection.
   */
  closeIfIdle(address: string): void {
    this.client.closeIfIdle(address);
  }

  /** Closes connections that have carried no request for `unusedMs`. */
  closeUnused(unusedMs: number): void {
    this.client.closeUnused(unusedMs);
  }
}
