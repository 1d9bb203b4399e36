import { Constants } from "../common/constants";
import { AcceptedChanges } from "./acceptedChanges";
import { ConfigurationPatch, Configurations } from "./configurations";

export type Route = {
  kind: "lookup" | "stream" | "item";
  pool: string;
  path: string;
  safe: boolean; // safe to repeat; unknown means no
  deadlineMs: number;
  continues: "exact" | "no"; // whether a replica can go on exactly after given pieces
  prefixBytes: number; // how much of the prompt decides affinity
  host?: string; // with prefix: reached by this Host header and the longest path prefix, method, path and body passed on as they are
  prefix?: string; // begins and ends with a slash
  split?: { pool: string; weight: number }[]; // instead of pool: shares of the work by weight
  targetMs?: number; // the time inside which a reply is worth most; of a stream, to its first piece
  order?: number; // who goes first at replicas and in buffers: lower before higher
  rounds?: number; // replicas that one request may be sent to, at most
  pieceGapMs?: number; // the longest pause between pieces that still counts as in time
  affinity?: boolean; // whether prompts share prefixes worth keeping together
  completionMs?: number; // item: all results of a lot are due so long after it was handed in
  giveUpMs?: number; // item: so long after that an item may be given up
  maxWaitingTokens?: number; // item: tokens waiting over all nodes, at most; 0 or absent: no limit
  origin?: unknown; // the operator's own form of this binding, kept as it was given
};
/** What the operator says of a pool of replicas. */
export type EndpointPool = {
  probePath?: string;
  connections?: number; // a replica takes from all senders together, at most
  warmMs?: number;
  warmPerSecond?: number; // requests a second that a cold replica bears, from all senders together; 0 or absent: no limit
  engine?: { slots: number; memoryTokens: number };
  origin?: unknown;
};
export type Limits = { headerBytes?: number; bodyBytes?: number; headerMs?: number; idleMs?: number };
export type Configuration = {
  bindings: Record<string, Route>;
  pools?: Record<string, EndpointPool>;
  limits?: Limits;
  origin?: unknown; // the rest of the operator's own form
  clock?: { deltaMs: number; epsilonMs: number; bigDeltaMs: number };
  retention?: { lotsMs?: number; requestsMs?: number; ledgerMs?: number }; // none: kept for good
};
export type PolicyLine = {
  match: { binding?: string; kind?: Route["kind"]; caller?: string };
  order?: number; // who goes first: lower before higher
  land?: { districts?: string[]; avoid?: string[] }; // where work may land
  limit?: number; // requests at once at one ingress
};
export type CalendarEntryState = "pencilled" | "started" | "finished" | "failed" | "removed";
export type CalendarEntry = {
  id: string;
  due: number;
  version: number;
  fate: CalendarEntryState;
  detail?: string;
  move: Move;
};
export type Move =
  | { kind: "release"; pool: string; version: string; overMs: number }
  | { kind: "rollback"; pool: string } // back to what was before the pool's last release
  | { kind: "drain"; district: string; until?: number }
  | { kind: "undrain"; district: string }
  | { kind: "retire"; store: string; name?: string } // name: the machine's, where the order named that
  | { kind: "manifest"; ifVersion: number; doc: Configuration };
export type ShardView = { shard: number; epoch: number; members: string[]; lead: string };
/** Which version of a pool new work goes to ("": any), and which was withdrawn: it gets none while others are there. */
export type Release = {
  version: string;
  startedAt: number;
  overMs: number;
  withdrawn?: string;
  former?: Omit<Release, "former">;
};
export type Outcome =
  | { tag: "done"; version: number }
  | { tag: "conflict"; version: number }
  | { tag: "refused"; detail: string }
  | { tag: "undecided"; detail: string }; // neither taken nor refused: the same order may be sent again
export type Decision = { index: number; subject: string; decision: string; cause: string };
export type Command =
  | { tag: "noop" }
  | { tag: "found"; group: string; voters: string[] }
  | { tag: "voters"; voters: string[] }
  | { tag: "manifest"; changeId: string; ifVersion: number; version?: number; doc: Configuration; by: string }
  | { tag: "patch"; changeId: string; ifVersion: number; version?: number; patch: ConfigurationPatch; by: string }
  | { tag: "policies"; changeId: string; ifVersion: number; doc: PolicyLine[]; by: string }
  | { tag: "pencil"; changeId: string; ifVersion: number; id: string; due: number; move: Move; by: string }
  | { tag: "erase"; changeId: string; ifVersion: number; id: string; by: string }
  | { tag: "drain" | "undrain"; changeId: string; district: string; by: string; at: number; identified?: boolean }
  | { tag: "retire"; changeId: string; store: string; name: string; by: string; at: number }
  | { tag: "move"; id: string; from: CalendarEntryState; to: CalendarEntryState; detail: string; at: number }
  | { tag: "view"; view: ShardView; reason: string }
  | { tag: "told"; upTo: number };
export type ControlState = {
  group: string;
  voters: string[];
  manifest: { version: number; doc: Configuration };
  policies: { version: number; doc: PolicyLine[] };
  calendar: Record<string, CalendarEntry>;
  views: Record<string, ShardView>;
  drained: string[];
  retiring: string[];
  releases: Record<string, Release>;
  changes: Record<string, Outcome>;
  accepted?: { manifest: AcceptedChanges; policies: AcceptedChanges }; // absent in a state kept by an older version
  changeOrder: string[];
  untold: Decision[];
  epochFloor: number; // views of a recovered group begin above every epoch that the former could give
  frameIndex?: number; // of the last entry that changed what nodes are told; absent in a state kept by an older version
};
/** What every node is told of the control state. */
export type ControlSnapshot = Pick<
  ControlState,
  "group" | "voters" | "manifest" | "policies" | "views" | "drained" | "retiring" | "releases"
> & {
  index: number;
};

const decide = (state: ControlState, index: number, subject: string, decision: string, cause: string): void => {
  state.untold.push({ index, subject, decision, cause });
};

/** The calendar with one more entry; of those that have ended, only so many are kept. */
function entered(state: ControlState, entry: CalendarEntry): Record<string, CalendarEntry> {
  const calendar = { ...state.calendar, [entry.id]: entry };
  const ended = Object.values(calendar).filter(
    ({ fate }) => fate === "finished" || fate === "failed" || fate === "removed",
  );
  for (const old of ended.slice(0, Math.max(0, ended.length - Constants.movesKept))) delete calendar[old.id];
  return calendar;
}
type Change = { changeId: string; by: string };
/** What a change came to, remembered by its id for whoever asks again. */
function settle(
  state: ControlState,
  index: number,
  command: Change,
  subject: string,
  outcome: Outcome,
  told: string,
): Outcome {
  state.changes[command.changeId] = outcome;
  state.changeOrder.push(command.changeId);
  while (state.changeOrder.length > Constants.changesKept) delete state.changes[state.changeOrder.shift()!];
  decide(state, index, subject, told, `change ${command.changeId} by ${command.by}`);
  return outcome;
}
/** The accepted changes of a document. */
function acceptedOf(state: ControlState, document: "manifest" | "policies"): AcceptedChanges {
  state.accepted ??= { manifest: AcceptedChanges.empty(), policies: AcceptedChanges.empty() };
  return state.accepted[document];
}
/** The change of a document: who won each version is known for long, so that a resend gets its first answer or none. */
function changeDocument(
  state: ControlState,
  index: number,
  command: Change & { ifVersion: number },
  document: "manifest" | "policies",
  apply: () => number | string,
): Outcome {
  const { version: current } = state[document];
  const accepted = acceptedOf(state, document);
  const { changeId, ifVersion } = command;
  if (!state.changes[changeId] && ifVersion < current) {
    const verdict = AcceptedChanges.verdict(accepted, ifVersion, changeId);
    if (verdict === "accepted") return { tag: "done", version: AcceptedChanges.result(accepted, ifVersion, current) };
    if (verdict === "forgotten")
      return {
        tag: "undecided",
        detail: `who changed version ${ifVersion} is not known any more, current is ${current}`,
      };
  }
  const known = state.changes[changeId] !== undefined;
  const outcome = change(state, index, command, document, current, apply);
  if (!known && outcome.tag === "done") AcceptedChanges.add(accepted, ifVersion, changeId);
  return outcome;
}
/** The version check and the memory of outcomes that every operator's change goes through; apply gives a version, or why not. */
function change(
  state: ControlState,
  index: number,
  command: Change & { ifVersion: number },
  subject: string,
  current: number,
  apply: () => number | string,
): Outcome {
  const earlier = state.changes[command.changeId];
  if (earlier) return earlier;
  // not a refusal: the same change may be taken once that version is there, and what was refused must never be in force
  if (command.ifVersion > current)
    return { tag: "undecided", detail: `made against version ${command.ifVersion}, current is ${current}` };
  if (command.ifVersion !== current) {
    const told = `refused: made against version ${command.ifVersion}, current is ${current}`;
    return settle(state, index, command, subject, { tag: "conflict", version: current }, told);
  }
  const applied = apply();
  if (typeof applied === "string")
    return settle(state, index, command, subject, { tag: "refused", detail: applied }, `refused: ${applied}`);
  return settle(state, index, command, subject, { tag: "done", version: applied }, `accepted as version ${applied}`);
}
/** Puts a whole manifest in force, under the operator's version or the next; or says why not. */
function takeConfiguration(
  state: ControlState,
  doc: Configuration,
  version = state.manifest.version + 1,
): number | string {
  if (version <= state.manifest.version)
    return `version ${version} is not higher than the current one, ${state.manifest.version}`;
  const [fault] = Configurations.faults(doc);
  if (fault !== undefined) return fault;
  state.manifest = { version, doc };
  return version;
}
/** When an order of this kind was last taken for the zone, by the clock of the lead that took it. */
function lastOrderAt(state: ControlState, kind: "drain" | "undrain", zone: string): number | undefined {
  const times = Object.values(state.calendar)
    .filter(({ id, move }) => move.kind === kind && move.district === zone && id.startsWith(`${kind}-${zone}-`))
    .map(({ due }) => due);
  return times.length > 0 ? Math.max(...times) : undefined;
}
/**
 * Whether an order without an id may be a late resend of one that was taken and has been taken back since. Its caller
 * gives up before the time is over; the caller of a new order is still sending then.
 */
function maybeResent(state: ControlState, command: Extract<Command, { tag: "drain" | "undrain" }>): boolean {
  if (command.identified) return false;
  const takenAt = lastOrderAt(state, command.tag, command.district);
  if (takenAt === undefined) return false;
  const age = command.at - takenAt;
  return age >= 0 && age < Constants.orderResendMs;
}
/** A district drained or given back by one word: in force with this entry. Said again, it stays as it is. */
function drain(state: ControlState, index: number, command: Extract<Command, { tag: "drain" | "undrain" }>): Outcome {
  const { tag, district: zone } = command;
  const earlier = state.changes[command.changeId];
  if (earlier) return earlier;
  if (state.drained.includes(zone) === (tag === "drain")) return { tag: "done", version: index };
  if (maybeResent(state, command))
    return { tag: "undecided", detail: `the same ${tag} was taken a moment ago, and taken back since` };
  const others = state.drained.filter((each) => each !== zone);
  state.drained = tag === "drain" ? [...others, zone] : others;
  const id = `${tag}-${zone}-${index}`;
  if (tag === "undrain")
    for (const entry of Object.values(state.calendar))
      if (entry.fate === "started" && entry.move.kind === "drain" && entry.move.district === zone)
        state.calendar = entered(state, {
          ...entry,
          fate: "finished",
          detail: `taken back by ${id}`,
          version: entry.version + 1,
        });
  const fate = tag === "drain" ? "started" : "finished";
  state.calendar = entered(state, { id, due: command.at, version: 1, fate, move: { kind: tag, district: zone } });
  return settle(state, index, command, `move ${id}`, { tag: "done", version: index }, `${tag} in force`);
}
/** A store's retirement, started by one word; said again, it is the same one. */
function retire(state: ControlState, index: number, command: Extract<Command, { tag: "retire" }>): Outcome {
  const earlier = state.changes[command.changeId];
  if (earlier) return earlier;
  if (state.retiring.includes(command.store)) return { tag: "done", version: index };
  const id = `retire-${command.name}-${index}`;
  state.retiring = [...state.retiring, command.store];
  const move: Move = { kind: "retire", store: command.store, name: command.name };
  state.calendar = entered(state, { id, due: command.at, version: 1, fate: "started", move });
  return settle(
    state,
    index,
    command,
    `move ${id}`,
    { tag: "done", version: index },
    `retire ${command.store} started`,
  );
}

function applyMove(state: ControlState, index: number, command: Extract<Command, { tag: "move" }>): Outcome {
  const entry = state.calendar[command.id];
  if (!entry || entry.fate !== command.from)
    return { tag: "refused", detail: `move is ${entry ? entry.fate : "not there"}` };
  let fate = command.to;
  let detail = command.detail;
  const move = entry.move;
  switch (move.kind) {
    case "drain":
      if (fate === "started" && !state.drained.includes(move.district))
        state.drained = [...state.drained, move.district];
      if (fate === "finished" && move.until !== undefined)
        state.drained = state.drained.filter((zone) => zone !== move.district);
      break;
    case "undrain":
      if (fate === "finished") state.drained = state.drained.filter((zone) => zone !== move.district);
      break;
    case "retire":
      if (fate === "started" && !state.retiring.includes(move.store)) state.retiring = [...state.retiring, move.store];
      if (fate === "failed") state.retiring = state.retiring.filter((store) => store !== move.store);
      break;
    case "release":
      if (fate === "started") {
        const { former: _older, ...former } = state.releases[move.pool] ?? { version: "", startedAt: 0, overMs: 0 };
        state.releases = {
          ...state.releases,
          [move.pool]: { version: move.version, startedAt: command.at, overMs: move.overMs, former },
        };
      }
      break;
    case "rollback": {
      if (fate !== "finished") break;
      const release = state.releases[move.pool];
      if (release?.former)
        state.releases = {
          ...state.releases,
          [move.pool]: { ...release.former, startedAt: command.at, overMs: 0, withdrawn: release.version },
        };
      else {
        fate = "failed";
        detail = `pool ${move.pool} has no release to take back`;
      }
      break;
    }
    case "manifest":
      if (fate === "finished") {
        const current = state.manifest.version;
        const taken =
          move.ifVersion === current
            ? takeConfiguration(state, move.doc)
            : `made against version ${move.ifVersion}, current is ${current}`;
        if (typeof taken === "number")
          AcceptedChanges.add(acceptedOf(state, "manifest"), move.ifVersion, `calendar entry ${entry.id}`);
        if (typeof taken === "string") {
          fate = "failed";
          detail = taken;
        }
      }
      break;
    default: {
      const never: never = move;
      return never;
    }
  }
  state.calendar = { ...state.calendar, [entry.id]: { ...entry, fate, detail, version: entry.version + 1 } };
  decide(
    state,
    index,
    `move ${entry.id}`,
    `${move.kind} ${fate}${detail ? `: ${detail}` : ""}`,
    `calendar entry ${entry.id} due ${new Date(entry.due).toISOString()}`,
  );
  return { tag: "done", version: entry.version + 1 };
}

function applyOne(state: ControlState, index: number, command: Command): Outcome {
  switch (command.tag) {
    case "noop":
      return { tag: "done", version: index };
    case "found":
      state.group = command.group;
      state.voters = command.voters;
      decide(
        state,
        index,
        "control group",
        `founded with voters ${command.voters.join(", ")}`,
        "all founders empty and agreed",
      );
      return { tag: "done", version: index };
    case "voters":
      state.voters = command.voters;
      decide(state, index, "control group", `voters are ${command.voters.join(", ")}`, "voter replaced or removed");
      return { tag: "done", version: index };
    case "manifest":
      return changeDocument(state, index, command, "manifest", () =>
        takeConfiguration(state, command.doc, command.version),
      );
    case "patch": {
      const doc = Configurations.patched(state.manifest.doc, command.patch);
      return changeDocument(state, index, command, "manifest", () => takeConfiguration(state, doc, command.version));
    }
    case "drain":
    case "undrain":
      return drain(state, index, command);
    case "retire":
      return retire(state, index, command);
    case "policies":
      return changeDocument(state, index, command, "policies", () => {
        state.policies = { version: state.policies.version + 1, doc: command.doc };
        return state.policies.version;
      });
    case "pencil": {
      const entry = state.calendar[command.id];
      if (entry && entry.fate !== "pencilled" && entry.fate !== "removed" && !state.changes[command.changeId])
        return { tag: "refused", detail: `move is ${entry.fate}` };
      return change(state, index, command, `move ${command.id}`, entry?.version ?? 0, () => {
        const version = (entry?.version ?? 0) + 1;
        state.calendar = entered(state, {
          id: command.id,
          due: command.due,
          version,
          fate: "pencilled",
          move: command.move,
        });
        return version;
      });
    }
    case "erase": {
      const entry = state.calendar[command.id];
      if (!entry || (entry.fate !== "pencilled" && !state.changes[command.changeId]))
        return { tag: "refused", detail: `move is ${entry ? entry.fate : "not there"}` };
      return change(state, index, command, `move ${command.id}`, entry.version, () => {
        state.calendar = { ...state.calendar, [command.id]: { ...entry, fate: "removed", version: entry.version + 1 } };
        return entry.version + 1;
      });
    }
    case "move":
      return applyMove(state, index, command);
    case "view": {
      const current = state.views[command.view.shard];
      if ((current?.epoch ?? 0) >= command.view.epoch) return { tag: "conflict", version: current.epoch };
      state.views = { ...state.views, [command.view.shard]: command.view };
      decide(
        state,
        index,
        `shard ${command.view.shard}`,
        `view ${command.view.epoch}: ${command.view.members.join(", ")} led by ${command.view.lead}`,
        command.reason,
      );
      return { tag: "done", version: command.view.epoch };
    }
    case "told":
      state.untold = state.untold.filter((decision) => decision.index > command.upTo);
      return { tag: "done", version: index };
    default: {
      const never: never = command;
      return never;
    }
  }
}
/** What a frame is made of; each part is replaced whole when it changes. */
const told = (state: ControlState): unknown[] => [
  state.group,
  state.voters,
  state.manifest,
  state.policies,
  state.views,
  state.drained,
  state.retiring,
  state.releases,
];

/**
 * The control group's state machine: the operator's word and the shard views.
 *
 * @example
 * const state = ControlState.empty();
 * ControlState.apply(state, 1, { tag: "found", group: "g", voters: ["a"] });
 */
export const ControlState = {
  empty: (): ControlState => ({
    group: "",
    voters: [],
    manifest: { version: 0, doc: { bindings: {} } },
    policies: { version: 0, doc: [] },
    calendar: {},
    views: {},
    drained: [],
    retiring: [],
    releases: {},
    changes: {},
    changeOrder: [],
    untold: [],
    epochFloor: 0,
  }),
  /** @example ControlState.apply(state, 7, command).tag === "done" */
  apply(state: ControlState, index: number, command: Command): Outcome {
    const before = told(state);
    const outcome = applyOne(state, index, command);
    if (told(state).some((part, at) => part !== before[at])) state.frameIndex = index;
    return outcome;
  },
  /** How often a group was recovered from one voter: its name carries it. @example ControlState.generation("group-a+2") // 2 */
  generation: (group: string): number => Number(/\+(\d+)$/.exec(group)?.[1] ?? 0),
  /** Whether a group is what another became by a recovery. @example ControlState.supersedes("group-a+1", "group-a") // true */
  supersedes: (group: string, former: string): boolean =>
    group.replace(/\+\d+$/, "") === former.replace(/\+\d+$/, "") &&
    ControlState.generation(group) > ControlState.generation(former),
  /** The state that a lone voter goes on from by an operator's word. @example ControlState.recovered(state, 1_000_007, "c1", views, "ann") */
  recovered(former: ControlState, index: number, voter: string, views: ShardView[], by: string): ControlState {
    const state = structuredClone(former);
    const generation = ControlState.generation(state.group) + 1;
    const lost = state.voters.filter((id) => id !== voter);
    state.group = `${state.group.replace(/\+\d+$/, "")}+${generation}`;
    state.voters = [voter];
    state.epochFloor = generation * Constants.recoveredEpochs;
    state.frameIndex = index;
    for (const view of views) if (view.epoch > (state.views[view.shard]?.epoch ?? 0)) state.views[view.shard] = view;
    const detail = `recovered as ${state.group} from voter ${voter} alone; what only ${lost.join(", ")} had acknowledged is lost`;
    decide(state, index, "control group", detail, `operator's word by ${by}`);
    return state;
  },
  /** What nodes are told, under the index of the entry that last changed it. @example ControlState.frame(state, 12).index */
  frame: (state: ControlState, index: number): ControlSnapshot => ({
    group: state.group,
    index: state.frameIndex ?? index,
    voters: state.voters,
    manifest: { version: state.manifest.version, doc: Configurations.bare(state.manifest.doc) },
    policies: state.policies,
    views: state.views,
    drained: state.drained,
    retiring: state.retiring,
    releases: state.releases,
  }),
};
