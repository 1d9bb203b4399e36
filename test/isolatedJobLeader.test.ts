import { Route } from "../src/controlState/configuration";
import { BatchJobFleet } from "./batchJobFleet";
import { seedsFrom } from "./seeds";

// Guards against items of a batch job that run by an old configuration at storage nodes which are cut off from the control
// group together (users' rule CONFIG, for items at any machine; docs/incidents/late-configuration.md). By hand, for many seeds:
//   ISOLATED_SEEDS=1-50 npx jest isolatedJobLeader

const STORAGE_NODES = ["store-1", "store-2", "store-3"];
const ITEMS = 900;
/** `config_apply_ms` of the users' strictest deployments. */
const CONFIGURATION_APPLY_MS = 2000;
const CUT_MS = 8000;
const FINISH_MS = 60_000;
const routeTo = (pool: string): Route => ({ ...BatchJobFleet.route, pool });

describe("a batch job whose shard is cut off from the control group with all its replicas", () => {
  test.each(seedsFrom(process.env.ISOLATED_SEEDS ?? "1,2"))(
    "runs no item by the old configuration once a newer one must be in force, and ends after the cut, seed %i",
    async (seed) => {
      const fleet = await BatchJobFleet.start(seed, { storageNodes: STORAGE_NODES.length, endpoints: 0, events: 4 });
      await fleet.startEndpoint("r1", "model", fleet.nodes[1]);
      await fleet.startEndpoint("r2", "other", fleet.nodes[1]);
      await fleet.world.run(2000);
      expect((await fleet.submit("L1", ITEMS))?.ok).toBe(true);
      await fleet.world.run(500);
      const [former, next] = fleet.endpoints;
      expect(former.runs.length).toBeGreaterThan(0);
      fleet.world.isolate([...STORAGE_NODES, "caller-2", "replica-r1", "replica-r2"], "both");
      await fleet.configure({ b: routeTo("other") });
      await fleet.world.run(CONFIGURATION_APPLY_MS);
      const inTime = former.runs.length;
      await fleet.world.run(CUT_MS);
      expect(former.runs.length - inTime).toBe(0);
      fleet.world.heal();
      const listed = await fleet.readAll("L1", FINISH_MS);
      expect(listed.results.filter((result) => result.state === "complete")).toHaveLength(ITEMS);
      expect(next.runs.length).toBeGreaterThan(0);
      expect(fleet.errors()).toEqual([]);
    },
  );
});
