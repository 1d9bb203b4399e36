import { Result } from "../common/fault";
import { Task } from "../runtime/csp";

/** The types of the bodies of a remote method; both must be representable in JSON. */
export interface RpcMethod<Request, Response> {
  readonly request: Request;
  readonly response: Response;
}

/**
 * All remote methods, by their names on the wire. The module that handles a method adds it here by declaration
 * merging; the compiler then checks the bodies passed to `Rpc.call`, `Rpc.notify` and `Rpc.handle`. The doc comment of
 * an entry lists the faults it returns, and says whether the method is idempotent and why (docs/notes/calls.md has a
 * table of all methods). The types are not verified at run time: a handler must still validate the body, and a handler
 * that throws on a malformed body responds with the fault "internal".
 *
 * The names of this module are in scope in the merged declaration without an import.
 *
 * @example
 * declare module "../rpc/methods" {
 *   interface RpcMethods {
 *     // Appends a put to its shard's log. Faults: notLead, late, busy. Idempotent: a put id is applied once.
 *     "shard.put": RpcMethod<PutRequest, PutResponse>;
 *   }
 * }
 */
// eslint-disable-next-line @typescript-eslint/no-empty-object-type -- filled by declaration merging
export interface RpcMethods {}

/** The names of the methods that have an entry. */
export type TypedMethod = keyof RpcMethods;

/** The request body of a method. */
export type RequestOf<Method extends TypedMethod> =
  RpcMethods[Method] extends RpcMethod<infer Request, unknown> ? Request : never;

/** The response body of a method. */
export type ResponseOf<Method extends TypedMethod> =
  RpcMethods[Method] extends RpcMethod<unknown, infer Response> ? Response : never;

/** The name of a method without an entry, which is any other string. */
export type UntypedMethod<Method extends string> = Method extends TypedMethod ? never : Method;

/** The handler of a method without an entry; the declared type of its parameter is not checked. */
export type UntypedHandler = (body: never, sender: string) => Task<Result<unknown>>;

/** Handles a request; `sender` is the id of the member that sent it. */
export type RpcHandler<Method extends string> = Method extends TypedMethod
  ? (body: RequestOf<Method>, sender: string) => Task<Result<ResponseOf<Method>>>
  : UntypedHandler;
