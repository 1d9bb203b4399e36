/** What a caller saw of one operation: from its first sending to its clear answer. */
type Span = { name: string; begin: number; end: number };
export type Operation<State> = Span & {
  /** The caller got no clear answer: it may have taken effect between begin and end, or never. */
  optional: boolean;
  /** The state after it, or undefined where what the caller saw can't have been seen in this state. */
  apply(state: State): State | undefined;
};
export type Verdict =
  { tag: "linearizable" } | { tag: "violated"; longestOrder: string[]; blockedOperations: string[] };
export type ConfigurationState = { version: number; mark: string };
type Frame<State> = { state: State; done: bigint; newestBegin: number; path: string[] };

const isDone = (done: bigint, at: number): boolean => ((done >> BigInt(at)) & 1n) === 1n;
/** Operations that may be the next one: none that must come has ended before they began. */
function candidates<State>(operations: Operation<State>[], snapshot: Frame<State>): number[] {
  let earliestEnd = Infinity;
  operations.forEach((operation, at) => {
    if (!operation.optional && !isDone(snapshot.done, at)) earliestEnd = Math.min(earliestEnd, operation.end);
  });
  return operations.flatMap((operation, at) => {
    const inTime = operation.begin <= earliestEnd && operation.end >= snapshot.newestBegin;
    return !isDone(snapshot.done, at) && inTime ? [at] : [];
  });
}
const isComplete = <State>(operations: Operation<State>[], done: bigint): boolean =>
  operations.every((operation, at) => operation.optional || isDone(done, at));

/**
 * Whether operations of concurrent callers can be put in one order that respects real time and gives every caller what it
 * saw: a depth-first search (Wing and Gong) that visits each pair of state and finished operations once.
 */
function linearize<State>(initial: State, operations: Operation<State>[]): Verdict {
  const visited = new Set<string>();
  const stack: Frame<State>[] = [{ state: initial, done: 0n, newestBegin: -Infinity, path: [] }];
  let deepest = stack[0];
  for (let snapshot = stack.pop(); snapshot; snapshot = stack.pop()) {
    if (isComplete(operations, snapshot.done)) return { tag: "linearizable" };
    if (snapshot.path.length > deepest.path.length) deepest = snapshot;
    for (const at of candidates(operations, snapshot).reverse()) {
      const operation = operations[at];
      const state = operation.apply(snapshot.state);
      if (state === undefined) continue;
      const done = snapshot.done | (1n << BigInt(at));
      const key = `${done.toString(36)} ${JSON.stringify(state)}`;
      if (visited.has(key)) continue;
      visited.add(key);
      const newestBegin = Math.max(snapshot.newestBegin, operation.begin);
      stack.push({ state, done, newestBegin, path: [...snapshot.path, operation.name] });
    }
  }
  const stuck = candidates(operations, deepest).map((at) => operations[at].name);
  return { tag: "violated", longestOrder: deepest.path.slice(-6), blockedOperations: stuck };
}

/**
 * Judges what operators saw of the control group as histories of a register with versions, and of one switch for each zone.
 *
 * @example
 * const judged = ControlHistory.configurations([ControlHistory.change("a", 0, 10, 0, 3, "acknowledged")]);
 */
export const ControlHistory = {
  linearize,
  /** @example ControlHistory.configurations(operations).tag // "linearizable" */
  configurations: (operations: Operation<ConfigurationState>[]): Verdict =>
    linearize({ version: 0, mark: "" }, operations),
  /** @example ControlHistory.zone(operations).tag */
  zone: (operations: Operation<boolean>[]): Verdict => linearize(false, operations),
  /** A change, resends included. Acknowledged: it took effect once. Refused: another version was current, and it never did. */
  change(
    mark: string,
    begin: number,
    end: number,
    ifVersion: number,
    version: number,
    outcome: "acknowledged" | "refused" | "unknown",
  ): Operation<ConfigurationState> {
    const take = (state: ConfigurationState): ConfigurationState | undefined =>
      state.version === ifVersion ? { version, mark } : undefined;
    const refuse = (state: ConfigurationState): ConfigurationState | undefined =>
      state.version === ifVersion ? undefined : state;
    const unknown = outcome === "unknown";
    const name = `${mark}: ${version} on ${ifVersion} ${outcome}, ${begin.toFixed(0)} to ${end.toFixed(0)}`;
    return {
      name,
      begin,
      end: unknown ? Infinity : end,
      optional: unknown,
      apply: outcome === "refused" ? refuse : take,
    };
  },
  /** @example ControlHistory.read("", 10, 12, 0) */
  read: (mark: string, begin: number, end: number, version: number): Operation<ConfigurationState> => ({
    name: `read ${version} ${mark}, ${begin.toFixed(0)} to ${end.toFixed(0)}`,
    begin,
    end,
    optional: false,
    apply: (state) => (state.version === version && state.mark === mark ? state : undefined),
  }),
  /** An order for a zone; without an answer it may take effect until end. @example ControlHistory.order("drain", 0, 900, true) */
  drainOrder: (kind: "drain" | "undrain", begin: number, end: number, acknowledged: boolean): Operation<boolean> => ({
    name: `${kind} ${acknowledged ? "acknowledged" : "unknown"}, ${begin.toFixed(0)} to ${end.toFixed(0)}`,
    begin,
    end,
    optional: !acknowledged,
    apply: () => kind === "drain",
  }),
  /** @example ControlHistory.drained(true, 50) */
  drained: (drained: boolean, at: number): Operation<boolean> => ({
    name: `${drained ? "drained" : "open"} at ${at.toFixed(0)}`,
    begin: at,
    end: at,
    optional: false,
    apply: (state) => (state === drained ? state : undefined),
  }),
};
