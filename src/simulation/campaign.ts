import { Violation } from "../tools/checker/checker";
import { Deployment } from "../tools/deployment";
import { Scenario } from "./scenarios/scenarios";
import { SimFleet } from "./simFleet";

export type RunReport = {
  scenario: string;
  seed: number;
  point: number;
  violations: Violation[];
  actions: string[];
  notes: string[];
  virtualMs: number;
  tookMs: number;
  served: number;
  fleet: SimFleet;
};

/**
 * Runs scenarios with seeds and judges each run.
 *
 * @example
 * const report = await Campaign.run(deployment, Scenarios.find("calm")!, 7, 0);
 * report.violations;
 */
export const Campaign = {
  async run(
    deployment: Deployment,
    scenario: Scenario,
    seed: number,
    point: number,
    log?: (line: string) => void,
  ): Promise<RunReport> {
    const startedAt = Date.now();
    const fleet = new SimFleet(deployment, seed, log);
    let violations: Violation[];
    try {
      await fleet.boot(scenario.load ?? 1);
      await scenario.run(fleet, point);
      violations = await fleet.stopAndCheck();
    } catch (error) {
      violations = [{ invariant: "exercised", detail: String((error as Error).message) }];
      for (const name of [...fleet.world.processes.keys()]) fleet.world.kill(name);
    }
    return {
      scenario: scenario.name,
      seed,
      point,
      violations,
      actions: fleet.actions,
      notes: fleet.notes,
      virtualMs: fleet.world.now,
      tookMs: Date.now() - startedAt,
      served: fleet.history.of("served").length,
      fleet,
    };
  },
  /** One line of a report. @example Campaign.line(report, "deploy/small.json") */
  formatReport(report: RunReport, file: string): string {
    const replay = `petrelbeam sim ${file} --scenario ${report.scenario} --seed ${report.seed}${report.point ? ` --point ${report.point}` : ""}`;
    const head = `${report.violations.length === 0 ? "well     " : "VIOLATION"} ${report.scenario}${report.point ? ` point ${report.point}` : ""} seed ${report.seed}: ${(report.virtualMs / 1000).toFixed(0)} s virtual in ${(report.tookMs / 1000).toFixed(1)} s, ${report.served} served`;
    if (report.violations.length === 0) return head;
    return [
      head,
      ...report.violations.slice(0, 6).map((violation) => `    ${violation.invariant}: ${violation.detail}`),
      `    replay: ${replay}`,
    ].join("\n");
  },
};
