import { Result } from "../common/fault";
import { Task } from "../runtime/csp";

/** Types of the two bodies of a remote method; both must survive a way through JSON. */
export interface RpcMethod<Request, Response> {
  readonly request: Request;
  readonly response: Response;
}

/**
 * All remote methods, by the name that goes over the wire. The module that handles a method declares it here by
 * declaration merging; from then on `Rpc.call`, `Rpc.notify` and `Rpc.handle` check its bodies. The doc comment of an
 * entry says which faults it gives, and whether a repeated request is harmless and why (the table of all methods is in
 * docs/notes/calls.md). Types are a promise of the sender: a handler still checks what it reads, and one that throws at
 * a malformed body responds with the fault "internal".
 *
 * Inside the declaration the names of this module are in scope without an import.
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

/** Names of the methods that have an entry. */
export type TypedMethod = keyof RpcMethods;

/** Body of a request, by method name. */
export type RequestOf<Method extends TypedMethod> =
  RpcMethods[Method] extends RpcMethod<infer Request, unknown> ? Request : never;

/** Body of a response, by method name. */
export type ResponseOf<Method extends TypedMethod> =
  RpcMethods[Method] extends RpcMethod<unknown, infer Response> ? Response : never;

/** A method without an entry: its name is any other text. */
export type UntypedMethod<Method extends string> = Method extends TypedMethod ? never : Method;

/** A handler whose method has no entry: the type that it gives its parameter isn't checked. */
export type UntypedHandler = (body: never, sender: string) => Task<Result<unknown>>;

/** Handles a request of a member; `sender` is the id of that member. */
export type RpcHandler<Method extends string> = Method extends TypedMethod
  ? (body: RequestOf<Method>, sender: string) => Task<Result<ResponseOf<Method>>>
  : UntypedHandler;
