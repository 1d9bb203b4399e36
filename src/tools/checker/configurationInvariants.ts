/** Invariants of configuration changes: they are in force in time, and are neither rolled back nor lost. */

import { Invariant, REPORTED_VIOLATIONS, TOLERANCE_MS } from "./invariant";

const IN_FORCE_MS = 2000;

export const configurationInForce: Invariant = {
  name: "config-in-force",
  requirement: "An acknowledged configuration is in force within about two seconds",
  check: (history, _endpoints, { unreachable }) => {
    const violations: string[] = [];
    for (const change of history.of("change").filter(({ outcome }) => outcome === "acknowledged"))
      for (const { at, version, node } of history.of("inForce")) {
        const isOverdue = at > change.at + IN_FORCE_MS + TOLERANCE_MS && version < change.version;
        if (isOverdue && !unreachable?.(node, change.at, at))
          violations.push(
            `version ${change.version} was not in force at ${node} ${(at - change.at).toFixed(0)} ms after its acknowledgement (${version} was)`,
          );
      }
    return violations.slice(0, REPORTED_VIOLATIONS);
  },
};

export const configurationNeverRolledBack: Invariant = {
  name: "config-never-back",
  requirement: "never slides back",
  check: (history) => {
    const latestVersions = new Map<string, number>();
    const violations: string[] = [];
    for (const { node, version } of history.of("inForce")) {
      const previous = latestVersions.get(node) ?? 0;
      if (version < previous) violations.push(`${node} went from version ${previous} back to ${version}`);
      latestVersions.set(node, Math.max(version, previous));
    }
    return violations;
  },
};

export const configurationKeptAtRunEnd: Invariant = {
  name: "config-at-day-end",
  requirement: "is what we read at day's end",
  check: (history) => {
    const acknowledged = history.of("change").filter(({ outcome }) => outcome === "acknowledged");
    const lastVersion = Math.max(-Infinity, ...acknowledged.map(({ version }) => version));
    const acknowledgedMarkers = new Set(acknowledged.map(({ mark }) => mark));
    return history.of("dayEnd").flatMap(({ version, mark: markers }) => {
      const violations: string[] = [];
      if (version < lastVersion)
        violations.push(
          `version ${version} was read at the end of the run, but version ${lastVersion} had been acknowledged`,
        );
      const present = markers.split(",");
      for (const marker of acknowledgedMarkers)
        if (!present.includes(marker))
          violations.push(`acknowledged change ${marker} is missing in the configuration read at the end of the run`);
      return violations;
    });
  },
};

export const rejectedNeverInForce: Invariant = {
  name: "loser-never-in-force",
  requirement: "A refused or losing change is never in force",
  check: (history) => {
    const changes = history.of("change").filter(({ outcome }) => outcome === "refused");
    const rejectedMarkers = new Set(changes.map(({ mark }) => mark));
    return [...history.of("inForce"), ...history.of("dayEnd")].flatMap(({ mark: markers }) =>
      markers
        .split(",")
        .filter((marker) => rejectedMarkers.has(marker))
        .map((marker) => `rejected change ${marker} was in force`),
    );
  },
};
