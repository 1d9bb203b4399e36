import { SimFleet } from "../../simulation/simFleet";
import { Deployment } from "../deployment";
import { Counts, Meter } from "./meter";

const configuration = {
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
const mix = {
  lookups: { binding: "status", perSecond: 0.01 },
  streams: [{ binding: "ask", perSecond: 0.01, prefixes: 1, prefixBytes: 64, pieces: 1 }],
  singles: { binding: "confirm", perSecond: 0.01 },
  lots: { binding: "confirm", everyMs: 3_600_000, items: 1, endOneIn: 1 },
};
const pools = ["model", "desk"].map((pool) => ({
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
 * A simulated fleet without callers; the messages, bytes and wake-ups of each process are counted.
 *
 * @example
 * const idleFleet = await IdleFleet.boot({ ingresses: 3, stores: 4, controls: 4 }, 1);
 * const spent = await idleFleet.over(10_000);
 */
export class IdleFleet {
  private readonly meters = new Map<string, Meter>();
  private constructor(readonly fleet: SimFleet) {
    fleet.world.around = (env) => {
      const meter = new Meter();
      this.meters.set(env.name, meter);
      return meter.wrap(env);
    };
  }
  /** @example await IdleFleet.boot({ ingresses: 3, stores: 4, controls: 4 }, 1) */
  static async boot(sizes: { ingresses: number; stores: number; controls: number }, seed: number): Promise<IdleFleet> {
    const checked = Deployment.check({
      cluster: "quiet",
      districts: ["north", "east", "south", "west"],
      ...sizes,
      pools,
      manifest: configuration,
      policies: [],
      mix,
    });
    if (!checked.ok) throw new Error(JSON.stringify(checked.fault));
    const idleFleet = new IdleFleet(new SimFleet(checked.value, seed));
    await idleFleet.fleet.boot();
    idleFleet.fleet.callers.stopNew();
    idleFleet.fleet.world.kill("callers");
    await idleFleet.fleet.run(6000);
    return idleFleet;
  }
  /** What the processes of a program spent until now, each. @example idleFleet.spent("store") */
  averageCounts(program: string): Counts {
    const all = this.fleet.names(program).map((name) => this.meters.get(name)!.copy());
    const sum = Meter.sum(all);
    return Object.fromEntries(Object.entries(sum).map(([name, value]) => [name, value / all.length])) as Counts;
  }
  /** What a process of each program spends a second. @example (await idleFleet.over(10_000)).store.bytes */
  async measureRates(ms: number): Promise<Record<string, Counts>> {
    const programs = ["control", "store", "agent", "ingress"].filter((program) => this.fleet.names(program).length > 0);
    const before = programs.map((program) => this.averageCounts(program));
    await this.fleet.run(ms);
    const rate = (program: string, at: number): Counts => {
      const now = this.averageCounts(program);
      return Object.fromEntries(
        Object.entries(before[at]).map(([name, value]) => [
          name,
          ((now as Record<string, number>)[name] - value) / (ms / 1000),
        ]),
      ) as Counts;
    };
    return Object.fromEntries(programs.map((program, at) => [program, rate(program, at)]));
  }
  /** @example idleFleet.end(); */
  end(): void {
    for (const name of [...this.fleet.world.processes.keys()]) this.fleet.world.kill(name);
  }
}
