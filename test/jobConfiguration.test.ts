import { Route } from "../src/controlState/configuration";
import { BatchJobFleet } from "./batchJobFleet";
import { seedsFrom } from "./seeds";

// Guards against items of a batch job that run by an older configuration than the one under which the job was accepted
// (users' rule CONFIG, "from the 202 on"; docs/incidents/late-configuration.md). By hand, for many seeds:
//   JOB_SEEDS=1-50 npx jest jobConfiguration

const ITEMS = 6;
const CHANGES = 8;
const POOLS = ["model", "other"] as const;
const FINISH_MS = 30_000;
const routeTo = (pool: string): Route => ({ ...BatchJobFleet.route, pool });

describe("a job that was accepted right after a change of its route", () => {
  test.each(seedsFrom(process.env.JOB_SEEDS ?? "17,34"))(
    "runs at the pool that the route had then, at a storage node with an older configuration too, seed %i",
    async (seed) => {
      const fleet = await BatchJobFleet.start(seed, { storageNodes: 3, endpoints: 1, events: 2 });
      await fleet.startEndpoint("r2", "other");
      await fleet.world.run(2000);
      const misrouted: string[] = [];
      for (let change = 1; change <= CHANGES; change += 1) {
        const pool = POOLS[change % POOLS.length];
        const job = `L${change}`;
        await fleet.configure({ b: routeTo(pool) });
        const isKnownToCaller = (): boolean => fleet.node.snapshot().control?.manifest.doc.bindings.b.pool === pool;
        while (!isKnownToCaller()) await fleet.world.run(1);
        const submitted = await fleet.submit(job, ITEMS);
        expect(submitted?.ok).toBe(true);
        await fleet.readAll(job, FINISH_MS);
        const otherEndpoints = fleet.endpoints.filter(
          (endpoint) => endpoint.instance !== (pool === "other" ? "r2-1" : "r1-1"),
        );
        for (const endpoint of otherEndpoints)
          for (const run of endpoint.runs)
            if (run.id.startsWith(`${job}-`)) misrouted.push(`${run.id} at ${endpoint.instance}`);
      }
      expect(misrouted).toEqual([]);
      expect(fleet.errors()).toEqual([]);
    },
  );
});
