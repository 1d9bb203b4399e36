/** Invariants of configuration changes: in force in time, never rolled back, never lost. */

import { Invariant, REPORTED_VIOLATIONS, TOLERANCE_MS } from "./invariant";

const IN_FORCE_MS = 2000;

export const configurationInForce: Invariant = {
  name: "config-in-force",
  requirement: "An acknowledged configuration is in force within about two seconds",
  check: (history, _endpoints, { unreachable }) => {
    const found: string[] = [];
    for (const change of history.of("change").filter(({ outcome }) => outcome === "acknowledged"))
      for (const { at, version, node } of history.of("inForce")) {
        const isOverdue = at > change.at + IN_FORCE_MS + TOLERANCE_MS && version < change.version;
        if (isOverdue && !unreachable?.(node, change.at, at))
          found.push(
            `version ${change.version} was not in force at ${node} ${(at - change.at).toFixed(0)} ms after its acknowledgement (${version} was)`,
          );
      }
    return found.slice(0, REPORTED_VIOLATIONS);
  },
};

export const configurationNeverRolledBack: Invariant = {
  name: "config-never-back",
  requirement: "never slides back",
  check: (history) => {
    const latest = new Map<string, number>();
    const found: string[] = [];
    for (const { node, version } of history.of("inForce")) {
      const previous = latest.get(node) ?? 0;
      if (version < previous) found.push(`${node} went from version ${previous} back to ${version}`);
      latest.set(node, Math.max(version, previous));
    }
    return found;
  },
};

export const configurationKeptAtRunEnd: Invariant = {
  name: "config-at-day-end",
  requirement: "is what we read at day's end",
  check: (history) => {
    const acknowledged = history.of("change").filter(({ outcome }) => outcome === "acknowledged");
    const lastVersion = Math.max(-Infinity, ...acknowledged.map(({ version }) => version));
    const marks = new Set(acknowledged.map(({ mark }) => mark));
    return history.of("dayEnd").flatMap(({ version, mark: markers }) => {
      const found: string[] = [];
      if (version < lastVersion) found.push(`read version ${version} at day's end, acknowledged was ${lastVersion}`);
      const present = markers.split(",");
      for (const mark of marks)
        if (!present.includes(mark)) found.push(`acknowledged change ${mark} is not in what was read at day's end`);
      return found;
    });
  },
};

export const rejectedNeverInForce: Invariant = {
  name: "loser-never-in-force",
  requirement: "A refused or losing change is never in force",
  check: (history) => {
    const changes = history.of("change").filter(({ outcome }) => outcome === "refused");
    const refused = new Set(changes.map(({ mark }) => mark));
    return [...history.of("inForce"), ...history.of("dayEnd")].flatMap(({ mark: markers }) =>
      markers
        .split(",")
        .filter((mark) => refused.has(mark))
        .map((mark) => `refused change ${mark} was in force`),
    );
  },
};
