/** The time from the first request of an operation until its caller knows the outcome. */
type Span = { name: string; begin: number; end: number };
/** An operation on an object with this state, as its caller observed it. */
export type Operation<State> = Span & {
  /** Whether the caller does not know the outcome: the operation took effect between begin and end, or not at all. */
  optional: boolean;
  /** Returns the state after the operation, or undefined if its observed outcome is impossible in this state. */
  apply(state: State): State | undefined;
};
/**
 * The result of a linearizability check. For a violation it names the last operations of the longest valid order found, and
 * the operations that are due next, each of which contradicts that order.
 */
export type Verdict =
  { tag: "linearizable" } | { tag: "violated"; longestOrder: string[]; blockedOperations: string[] };
/** The current configuration: its version, and the marker of the change that made it. */
export type ConfigurationState = { version: number; mark: string };
/** A search node: ordered operations as a bit set of indexes and as names, the state after them and their latest begin. */
type SearchState<State> = { state: State; ordered: bigint; latestBegin: number; path: string[] };

const isOrdered = (ordered: bigint, index: number): boolean => ((ordered >> BigInt(index)) & 1n) === 1n;
/** Returns the indexes of the operations that can be next: no mandatory operation ended before such an operation began. */
function candidates<State>(operations: Operation<State>[], searchState: SearchState<State>): number[] {
  let earliestEnd = Infinity;
  operations.forEach((operation, index) => {
    if (!operation.optional && !isOrdered(searchState.ordered, index))
      earliestEnd = Math.min(earliestEnd, operation.end);
  });
  return operations.flatMap((operation, index) => {
    const respectsRealTime = operation.begin <= earliestEnd && operation.end >= searchState.latestBegin;
    return !isOrdered(searchState.ordered, index) && respectsRealTime ? [index] : [];
  });
}
const isComplete = <State>(operations: Operation<State>[], ordered: bigint): boolean =>
  operations.every((operation, index) => operation.optional || isOrdered(ordered, index));

/**
 * Checks whether operations of concurrent callers are linearizable, which means that they have one order that respects real
 * time and explains what every caller observed. A depth-first search (Wing and Gong) that visits each pair of a state and a
 * set of ordered operations once.
 */
function linearize<State>(initial: State, operations: Operation<State>[]): Verdict {
  const visited = new Set<string>();
  const stack: SearchState<State>[] = [{ state: initial, ordered: 0n, latestBegin: -Infinity, path: [] }];
  let deepest = stack[0];
  for (let searchState = stack.pop(); searchState; searchState = stack.pop()) {
    if (isComplete(operations, searchState.ordered)) return { tag: "linearizable" };
    if (searchState.path.length > deepest.path.length) deepest = searchState;
    for (const index of candidates(operations, searchState).reverse()) {
      const operation = operations[index];
      const state = operation.apply(searchState.state);
      if (state === undefined) continue;
      const ordered = searchState.ordered | (1n << BigInt(index));
      const key = `${ordered.toString(36)} ${JSON.stringify(state)}`;
      if (visited.has(key)) continue;
      visited.add(key);
      const latestBegin = Math.max(searchState.latestBegin, operation.begin);
      stack.push({ state, ordered, latestBegin, path: [...searchState.path, operation.name] });
    }
  }
  const blockedOperations = candidates(operations, deepest).map((index) => operations[index].name);
  return { tag: "violated", longestOrder: deepest.path.slice(-6), blockedOperations };
}

/**
 * Checks what operators observed of the control group for linearizability: the configuration as a register with versions,
 * and the drain of each zone as a switch.
 *
 * @example
 * const verdict = ControlHistory.configurations([ControlHistory.change("a", 0, 10, 0, 3, "acknowledged")]);
 */
export const ControlHistory = {
  linearize,
  /** Checks the changes and reads of the configuration. */
  configurations: (operations: Operation<ConfigurationState>[]): Verdict =>
    linearize({ version: 0, mark: "" }, operations),
  /** Checks the drain orders for one zone and the observations of its state. */
  zone: (operations: Operation<boolean>[]): Verdict => linearize(false, operations),
  /**
   * A change of the configuration, including its retries. An acknowledged change took effect once; a refused one never did,
   * since another version than `ifVersion` was current.
   */
  change(
    mark: string,
    begin: number,
    end: number,
    ifVersion: number,
    version: number,
    outcome: "acknowledged" | "refused" | "unknown",
  ): Operation<ConfigurationState> {
    const accept = (state: ConfigurationState): ConfigurationState | undefined =>
      state.version === ifVersion ? { version, mark } : undefined;
    const reject = (state: ConfigurationState): ConfigurationState | undefined =>
      state.version === ifVersion ? undefined : state;
    const isUnknown = outcome === "unknown";
    const name = `${mark}: ${version} on ${ifVersion} ${outcome}, ${begin.toFixed(0)} to ${end.toFixed(0)}`;
    return {
      name,
      begin,
      end: isUnknown ? Infinity : end,
      optional: isUnknown,
      apply: outcome === "refused" ? reject : accept,
    };
  },
  /** A read of the configuration. */
  read: (mark: string, begin: number, end: number, version: number): Operation<ConfigurationState> => ({
    name: `read ${version} ${mark}, ${begin.toFixed(0)} to ${end.toFixed(0)}`,
    begin,
    end,
    optional: false,
    apply: (state) => (state.version === version && state.mark === mark ? state : undefined),
  }),
  /** An order to drain or undrain a zone; one that is not acknowledged may take effect until `end`. */
  drainOrder: (kind: "drain" | "undrain", begin: number, end: number, acknowledged: boolean): Operation<boolean> => ({
    name: `${kind} ${acknowledged ? "acknowledged" : "unknown"}, ${begin.toFixed(0)} to ${end.toFixed(0)}`,
    begin,
    end,
    optional: !acknowledged,
    apply: () => kind === "drain",
  }),
  /** An observation whether a zone is drained. */
  drained: (isDrained: boolean, at: number): Operation<boolean> => ({
    name: `${isDrained ? "drained" : "open"} at ${at.toFixed(0)}`,
    begin: at,
    end: at,
    optional: false,
    apply: (state) => (state === isDrained ? state : undefined),
  }),
};
