import type { Command } from "../controlState/command";
import { Fault, Result } from "../common/fault";
import type { OrderDeadline } from "./orderDeadline";

/** Asks for a reading of the leader's clock. */
export interface ClockRequest {
  op: "clock";
  deadline?: OrderDeadline;
}

/** Reads a part of the control state. */
export interface ReadRequest {
  op: "read";
  /** "manifest", "policies", "calendar", "change", "views", "voters" or "retirement"; the response to any other is null. */
  what: string;
  /** Id of the calendar entry, change or storage node. */
  id?: string;
  deadline?: OrderDeadline;
}

/** Proposes a command to the consensus group. */
export interface ChangeRequest {
  op: "change";
  command: Command;
  deadline?: OrderDeadline;
}

/** Starts the retirement of a storage node. */
export interface RetireRequest {
  op: "retire";
  /** Identifies the order, so that a retry gets the outcome of the first attempt. */
  changeId: string;
  /** Id of the storage node, or the name of its machine. */
  store: string;
  /** Name of the operator, for the ledger. */
  by: string;
  deadline?: OrderDeadline;
}

/** Request of the remote method "control.op", which only the leader of the consensus group serves. */
export type ControlRequest = ClockRequest | ReadRequest | ChangeRequest | RetireRequest;

declare module "../rpc/methods" {
  interface RpcMethods {
    /**
     * Reads or changes the control state; the response depends on the request. Faults: "notLead" with the address of
     * the leader as its detail, "late" after the request's deadline, "conflict", "invalid", "notFound", "busy",
     * "unknown". Idempotent: a change is identified by its id, and is not carried out after its deadline.
     */
    "control.op": RpcMethod<ControlRequest, unknown>;
  }
}

type Fields = Record<string, unknown>;
const isObject = (value: unknown): value is Fields => typeof value === "object" && value !== null;
const areStrings = (values: unknown[]): values is string[] => values.every((value) => typeof value === "string");

const isDeadline = (value: unknown): value is OrderDeadline =>
  isObject(value) && typeof value.clockId === "string" && typeof value.at === "number";

/**
 * Checks only the tag of a command; the state machine rejects commands that it cannot apply, equally on every voter.
 */
const isCommand = (value: unknown): value is Command => isObject(value) && typeof value.tag === "string";

/** Checks requests from other processes. */
export const ControlRequest = {
  /** Checks the body of a received request; the detail of the fault "invalid" says what is wrong. */
  parse(body: unknown, member: string): Result<ControlRequest> {
    const invalid = (detail: string): Result<never> => Fault.fail("invalid", "control op", member, detail);
    if (!isObject(body)) return invalid("no object");
    if (body.deadline !== undefined && !isDeadline(body.deadline)) return invalid("malformed deadline");
    const deadline = body.deadline ? { deadline: body.deadline } : {};
    switch (body.op) {
      case "clock":
        return Fault.ok({ op: "clock", ...deadline });
      case "read": {
        const { what, id } = body;
        const isIdValid = id === undefined || typeof id === "string";
        if (typeof what !== "string" || !isIdValid) return invalid("malformed read");
        return Fault.ok({ op: "read", what, ...(id === undefined ? {} : { id }), ...deadline });
      }
      case "change":
        if (!isCommand(body.command)) return invalid("malformed command");
        return Fault.ok({ op: "change", command: body.command, ...deadline });
      case "retire": {
        const strings = [body.changeId, body.store, body.by];
        if (!areStrings(strings)) return invalid("malformed retirement");
        const [changeId, store, by] = strings;
        return Fault.ok({ op: "retire", changeId, store, by, ...deadline });
      }
      default:
        return invalid(`unknown op ${String(body.op)}`);
    }
  },
};
