import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { ControlState } from "../controlState/controlState";
import { ControlRequest, ReadRequest } from "../node/controlRequest";
import { Node } from "../node/node";
import { LeaderClock, OrderDeadline } from "../node/orderDeadline";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { ChangeProposals } from "./changeProposals";
import { Leadership } from "./leadership";
import { RetirementOrders } from "./retirementOrders";
import { VoterHealth } from "./voterHealth";

/** Returns a part of the control state, or null if no part has that name or id. */
function readState(state: ControlState, { what, id = "" }: ReadRequest): unknown {
  switch (what) {
    case "manifest":
      return state.manifest;
    case "policies":
      return state.policies;
    case "calendar":
      if (id) return state.calendar[id] ?? null;
      return { entries: Object.values(state.calendar).sort((left, right) => left.due - right.due) };
    case "change":
      return state.changes[id] ?? null;
    case "views":
      return state.views;
    default:
      return null;
  }
}

/** Serves "control.op" at the leader of the consensus group: reads and orders of operators, forwarded by any node. */
export class ControlRequestHandler {
  /** Identifies this process's clock. Its readings have no meaning in another process or after a restart. */
  private readonly clockId: string;

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly leadership: Leadership,
    private readonly voterHealth: VoterHealth,
    private readonly proposals: ChangeProposals,
    private readonly retirementOrders: RetirementOrders,
  ) {
    this.clockId = `${node.self.id}@${env.wallClockMs()}/${env.monotonicMs()}`;
  }

  serve(): void {
    this.node.rpc.handle("control.op", (body) => this.onRequest(body));
  }

  /**
   * Responds only as a leader with a valid lease. A response from memory alone is valid only if the lease is still
   * valid afterwards; an outcome that was committed through the log is final whether or not the lease has ended.
   */
  private *onRequest(body: unknown): Task<Result<unknown>> {
    if (!this.group.hasLeaderLease()) return this.leadership.notLeader();
    const request = ControlRequest.parse(body, this.node.self.id);
    const response = request.ok ? yield* this.respond(request.value) : request;
    const isRead = request.ok && request.value.op === "read";
    const isFromMemory = isRead || (!response.ok && response.fault.tag !== "unknown");
    return isFromMemory && !this.group.hasLeaderLease() ? this.leadership.notLeader() : response;
  }

  private *respond(request: ControlRequest): Task<Result<unknown>> {
    const late = this.lateFault(request.deadline);
    if (late) return late;
    switch (request.op) {
      case "clock":
        return Fault.ok<LeaderClock>({ clockId: this.clockId, now: this.env.monotonicMs() });
      case "read":
        if (request.what === "retirement") return Fault.ok(yield* this.retirementOrders.read(request.id ?? ""));
        if (request.what === "voters") return Fault.ok(this.voterHealth.status() ?? null);
        return Fault.ok(readState(this.group.state, request));
      case "change":
        return yield* this.proposals.propose(request.command);
      case "retire":
        return yield* this.retirementOrders.retire(request);
    }
  }

  /** Returns a fault if the caller no longer waits for the response, as measured by this process's own clock. */
  private lateFault(deadline: OrderDeadline | undefined): Result<never> | undefined {
    if (!deadline) return undefined;
    const { id } = this.node.self;
    if (deadline.clockId !== this.clockId) return Fault.fail("late", "control op", id, OrderDeadline.clockMismatch);
    if (this.env.monotonicMs() <= deadline.at) return undefined;
    return Fault.fail("late", "control op", id, "its caller no longer waits");
  }
}
