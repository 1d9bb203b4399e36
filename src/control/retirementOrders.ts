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

/** Operators' orders to retire a storage node, and reads of their progress. */
export class RetirementOrders {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly retirement: StoreRetirement,
    private readonly proposals: ChangeProposals,
  ) {}

  /**
   * Starts the retirement of a storage node, named by its id or its machine. Faults besides those of a change:
   * "notFound" (no such node), "conflict" (too few would remain), "busy" (not all nodes are known here yet).
   * @example const accepted = yield* orders.retire(request);
   */
  *retire(request: RetireRequest): Task<Result<AcceptedChange>> {
    const stores = this.storesNamed(request.store);
    const live = stores.find(isLive);
    const store = live ?? stores[0];
    const isRetiring = store !== undefined && this.group.state.retiring.includes(store.id);
    const needed = this.retirement.replicationFactor;
    const remaining = store ? this.retirement.machinesWithout(store) : 0;
    // a leader that was just elected may not have discovered every node yet
    const isIncomplete = this.env.monotonicMs() - this.group.leaderSince < Constants.storeDiscoveryAfterElectionMs;
    if (!isRetiring && (!store || remaining < needed) && isIncomplete)
      return this.busy("the stores are not all known here yet");
    const earlier = live ? undefined : this.latest(request.store);
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
   * The latest retirement of a storage node. A finished one reads as started while a shard has too few replicas on other
   * machines: the machine must not be removed then.
   * @example const entry = yield* orders.read("machine-4");
   */
  *read(store: string): Task<CalendarEntry | null> {
    const entry = this.latest(store);
    if (entry?.fate !== CalendarEntryState.finished || entry.move.kind !== "retire") return entry ?? null;
    const isComplete = yield* this.retirement.confirmComplete(entry.move);
    return isComplete ? entry : { ...entry, fate: CalendarEntryState.started };
  }

  /** Storage nodes of this id or machine name, those that are down or have left included. */
  private storesNamed(store: string): Member[] {
    return this.node.membership
      .all()
      .filter((member) => member.program === "store" && (member.id === store || member.name === store));
  }

  /**
   * The latest retirement of a storage node by the order of the log, whatever the clocks said. A finished one does not
   * apply to a successor of the same name.
   */
  private latest(store: string): CalendarEntry | undefined {
    const entry = Object.values(this.group.state.calendar)
      .filter(({ move }) => move.kind === "retire" && (move.store === store || move.name === store))
      .pop();
    if (entry?.move.kind !== "retire") return undefined;
    const { store: retired } = entry.move;
    const live = this.storesNamed(store).find(isLive);
    const hasSuccessor = live !== undefined && live.id !== retired;
    return entry.fate === CalendarEntryState.finished && hasSuccessor ? undefined : entry;
  }

  /**
   * The response to an order for a machine that is no longer a member. A retry gets the first outcome; later than any retry, the order may
   * mean a successor of the same name that is not known here yet.
   */
  private acceptedEarlier({ fate: state, due, version }: CalendarEntry): Result<AcceptedChange> {
    const ageMs = this.env.wallClockMs() - due;
    const maybeRetry = ageMs >= 0 && ageMs < Constants.orderRetryWindowMs;
    if (state === CalendarEntryState.started || maybeRetry) return Fault.ok({ version });
    return this.busy("the machine was retired before, and isn't known here now");
  }

  private busy(detail: string): Result<never> {
    return Fault.busy("retire", this.node.self.id, detail, Constants.retryAfterMs);
  }
}
