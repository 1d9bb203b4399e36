import { SimFleet } from "../../simulation/simFleet";
import { Deployment } from "../deployment";
import { Counts, Meter } from "./meter";

const CONFIGURATION = {
  bindings: {
    ask: {
      kind: "stream",
      pool: "model",
      path: "/generate",
      safe: true,
      deadlineMs: 15_000,
      continues: "exact",
      prefixBytes: 512,
    },
    confirm: { kind: "item", pool: "desk", path: "/confirm", safe: false, deadlineMs: 4000 },
    status: { kind: "lookup", pool: "desk", path: "/status", safe: true, deadlineMs: 2500 },
  },
};
const TRAFFIC_MIX = {
  lookups: { binding: "status", perSecond: 0.01 },
  streams: [{ binding: "ask", perSecond: 0.01, prefixes: 1, prefixBytes: 64, pieces: 1 }],
  singles: { binding: "confirm", perSecond: 0.01 },
  lots: { binding: "confirm", everyMs: 3_600_000, items: 1, endOneIn: 1 },
};
const POOLS = ["model", "desk"].map((pool) => ({
  pool,
  replicas: 4,
  capacity: 16,
  prefillMs: 20,
  prefillCachedMs: 20,
  pieceMs: 5,
  pieces: 1,
  itemMs: 20,
}));

/**
 * A simulated fleet without callers, whose messages, bytes and wake-ups are counted per process.
 *
 * @example
 * const idleFleet = await IdleFleet.boot({ ingresses: 3, stores: 4, controls: 4 }, 1);
 * const rates = await idleFleet.measureRates(10_000);
 */
export class IdleFleet {
  private readonly meters = new Map<string, Meter>();
  private constructor(readonly fleet: SimFleet) {
    fleet.world.wrapEnvironment = (env) => {
      const meter = new Meter();
      this.meters.set(env.name, meter);
      return meter.wrap(env);
    };
  }
  /** Starts a fleet, stops its callers and lets their last requests end. */
  static async boot(sizes: { ingresses: number; stores: number; controls: number }, seed: number): Promise<IdleFleet> {
    const checked = Deployment.check({
      cluster: "quiet",
      districts: ["north", "east", "south", "west"],
      ...sizes,
      pools: POOLS,
      manifest: CONFIGURATION,
      policies: [],
      mix: TRAFFIC_MIX,
    });
    if (!checked.ok) throw new Error(JSON.stringify(checked.fault));
    const idleFleet = new IdleFleet(new SimFleet(checked.value, seed));
    await idleFleet.fleet.boot();
    idleFleet.fleet.callers.stopNew();
    idleFleet.fleet.world.kill("callers");
    await idleFleet.fleet.run(6000);
    return idleFleet;
  }
  /** The counts of a program's processes until now, on average per process. */
  averageCounts(program: string): Counts {
    const counts = this.fleet.names(program).map((name) => this.meters.get(name)!.copy());
    const sum = Meter.sum(counts);
    return Object.fromEntries(Object.entries(sum).map(([name, value]) => [name, value / counts.length])) as Counts;
  }
  /** Runs for so long; returns the counts per process and second of each program. */
  async measureRates(ms: number): Promise<Record<string, Counts>> {
    const programs = ["control", "store", "agent", "ingress"].filter((program) => this.fleet.names(program).length > 0);
    const before = programs.map((program) => this.averageCounts(program));
    await this.fleet.run(ms);
    const rate = (program: string, index: number): Counts => {
      const counts = this.averageCounts(program);
      return Object.fromEntries(
        Object.entries(before[index]).map(([name, value]) => [
          name,
          ((counts as Record<string, number>)[name] - value) / (ms / 1000),
        ]),
      ) as Counts;
    };
    return Object.fromEntries(programs.map((program, index) => [program, rate(program, index)]));
  }
  /** Kills all processes. */
  end(): void {
    for (const name of [...this.fleet.world.processes.keys()]) this.fleet.world.kill(name);
  }
}
