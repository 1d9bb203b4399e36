import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { CalendarEntry, CalendarEntryState } from "../controlState/calendarEntry";
import { Member } from "../membership/member";
import { RetireRequest } from "../node/controlRequest";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { AcceptedChange, ChangeProposals } from "./changeProposals";
import { StoreRetirement } from "./storeRetirement";

const isLive = (member: Member): boolean => member.state === "alive" || member.state === "suspect";

/** Handles operators' orders to retire a storage node, and reads of their progress. */
export class RetirementOrders {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly retirement: StoreRetirement,
    private readonly proposals: ChangeProposals,
  ) {}

  /**
   * Starts the retirement of a storage node, given by its id or by the name of its machine. Faults besides those of a
   * change: "notFound" (no such node), "conflict" (too few would remain), "busy" (not all nodes are discovered yet).
   */
  *retire(request: RetireRequest): Task<Result<AcceptedChange>> {
    const stores = this.findStores(request.store);
    const live = stores.find(isLive);
    const store = live ?? stores[0];
    const isRetiring = store !== undefined && this.group.state.retiring.includes(store.id);
    const needed = this.retirement.replicationFactor;
    const remaining = store ? this.retirement.countRemainingMachines(store) : 0;
    // A leader that has just been elected may not have discovered every node yet.
    const isIncomplete = this.env.monotonicMs() - this.group.leaderSince < Constants.storeDiscoveryAfterElectionMs;
    if (!isRetiring && (!store || remaining < needed) && isIncomplete)
      return this.busyFault("the stores are not all known here yet");
    const earlier = live ? undefined : this.findLatest(request.store);
    if (earlier) return this.acceptedEarlier(earlier);
    const { id: member } = this.node.self;
    if (!store) return Fault.fail("notFound", "retire", member, `no store ${request.store}`);
    if (!isRetiring && remaining < needed)
      return Fault.fail("conflict", "retire", member, `too few stores would stay: ${remaining}, needed ${needed}`);
    const { changeId, by, store: name } = request;
    return yield* this.proposals.propose({
      tag: "retire",
      changeId,
      store: store.id,
      name,
      by,
      at: this.env.wallClockMs(),
    });
  }

  /**
   * Returns the latest retirement of a storage node. A finished one is reported as started while a shard has too few
   * replicas on other machines, because the machine must not be removed then.
   */
  *read(store: string): Task<CalendarEntry | null> {
    const entry = this.findLatest(store);
    if (entry?.fate !== CalendarEntryState.finished || entry.move.kind !== "retire") return entry ?? null;
    const isComplete = yield* this.retirement.confirmComplete(entry.move);
    return isComplete ? entry : { ...entry, fate: CalendarEntryState.started };
  }

  /** Returns the storage nodes of this id or machine name, including those that are down or have left. */
  private findStores(store: string): Member[] {
    return this.node.membership
      .all()
      .filter((member) => member.program === "store" && (member.id === store || member.name === store));
  }

  /**
   * Returns the latest retirement of a storage node by log order, independently of wall clocks. A finished retirement
   * does not apply to a successor with the same name.
   */
  private findLatest(store: string): CalendarEntry | undefined {
    const entry = Object.values(this.group.state.calendar)
      .filter(({ move }) => move.kind === "retire" && (move.store === store || move.name === store))
      .pop();
    if (entry?.move.kind !== "retire") return undefined;
    const { store: retired } = entry.move;
    const live = this.findStores(store).find(isLive);
    const hasSuccessor = live !== undefined && live.id !== retired;
    return entry.fate === CalendarEntryState.finished && hasSuccessor ? undefined : entry;
  }

  /**
   * Returns the response to an order for a machine that is no longer a member. A retry gets the first outcome. An order
   * that comes too late to be a retry may mean a successor with the same name that is not known here yet.
   */
  private acceptedEarlier({ fate: state, due, version }: CalendarEntry): Result<AcceptedChange> {
    const ageMs = this.env.wallClockMs() - due;
    const mayBeRetry = ageMs >= 0 && ageMs < Constants.orderRetryWindowMs;
    if (state === CalendarEntryState.started || mayBeRetry) return Fault.ok({ version });
    return this.busyFault("the machine was retired before, and isn't known here now");
  }

  private busyFault(detail: string): Result<never> {
    return Fault.busy("retire", this.node.self.id, detail, Constants.retryAfterMs);
  }
}
