import { ActionGenerator } from "./actionGenerator";
import { Action } from "./actions";
import { FaultInjection } from "./groupUnderTest";
import { Violation } from "./violation";
import { SPARE_MACHINES, Walk, WalkReport } from "./walk";

/** A walk that violated an invariant, shortened to the fewest actions found that still violate one. */
export interface FailingWalk {
  seed: number;
  voters: 3 | 5;
  violation: string;
  actions: Action[];
  /** Number of times the list of actions was shortened. */
  shrinks: number;
}

export interface CampaignReport {
  walks: number;
  failures: FailingWalk[];
  /** Sums over all walks that violated no invariant. */
  totals: WalkReport;
}

export interface CampaignOptions {
  /** Seed of the first walk; each further walk uses the next seed. */
  firstSeed: number;
  walks: number;
  voters: 3 | 5;
  /** Whether disks reject writes for a while. */
  diskFaults?: boolean;
  /** Faults injected into the code under test, by the tests of the invariants. */
  faults?: FaultInjection;
  /** Maximum number of attempts to shorten a failing walk; 400 if absent. */
  shrinkLimit?: number;
  /** Is called after each walk with the number of walks so far. */
  onProgress?: (walks: number) => void;
  /** Is called with each failing walk as soon as it has been shortened. */
  onFailure?: (failure: FailingWalk) => void;
  stopAtFailure?: boolean;
}

const DEFAULT_SHRINK_LIMIT = 400;

const zeroTotals = (): WalkReport => ({ virtualMs: 0, proposed: 0, acknowledged: 0, committed: 0, wipes: 0 });

function addTo(totals: WalkReport, report: WalkReport): void {
  for (const key of Object.keys(totals) as (keyof WalkReport)[]) totals[key] += report[key];
}
function describe(error: unknown): string {
  return error instanceof Violation ? error.message : String((error as Error)?.stack ?? error);
}

/**
 * Runs random walks by seed. The seed determines the actions and all randomness of the simulation, so the seed alone
 * reproduces a walk.
 */
export const ModelCampaign = {
  /** Runs the walks one after the other. */
  async run(options: CampaignOptions): Promise<CampaignReport> {
    const report: CampaignReport = { walks: 0, failures: [], totals: zeroTotals() };
    for (let seed = options.firstSeed; seed < options.firstSeed + options.walks; seed += 1) {
      const failure = await ModelCampaign.runWalk(options, seed, report.totals);
      report.walks += 1;
      if (failure) {
        report.failures.push(failure);
        options.onFailure?.(failure);
        if (options.stopAtFailure) break;
      }
      options.onProgress?.(report.walks);
    }
    return report;
  },

  /** Runs the walk of one seed, adds its figures to `totals`, and shortens the walk if it fails. */
  async runWalk(options: CampaignOptions, seed: number, totals: WalkReport): Promise<FailingWalk | undefined> {
    const fc = await import("fast-check"); // loaded on demand, because the rest of the program doesn't use it
    const { voters, faults } = options;
    const attemptLimit = 1 + (options.shrinkLimit ?? DEFAULT_SHRINK_LIMIT);
    let attempts = 0;
    let violation: unknown;
    const walks = new ActionGenerator(fc, voters + SPARE_MACHINES, options.diskFaults).walk();
    const property = fc.asyncProperty(walks, async (actions) => {
      attempts += 1;
      if (attempts > attemptLimit) return;
      try {
        addTo(totals, await Walk.play({ seed, voters, faults }, actions));
      } catch (error) {
        violation = error;
        throw error;
      }
    });
    const checked = await fc.check(property, { seed, numRuns: 1, unbiased: true });
    if (!checked.failed) return undefined;
    const actions = checked.counterexample?.[0] ?? [];
    return { seed, voters, violation: describe(violation), actions, shrinks: checked.numShrinks };
  },
};
