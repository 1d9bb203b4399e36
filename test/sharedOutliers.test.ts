import { Constants } from "../src/common/constants";
import type { ClusterSnapshot, Endpoint } from "../src/node/clusterSnapshot";
import { FailureReport, sumOfReports } from "../src/node/failureReport";
import { EndpointSelector } from "../src/routing/endpointSelector";
import type { SelectionCriteria } from "../src/routing/selectionCriteria";
import { sharedOutliers } from "../src/routing/sharedOutliers";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";
import { modelEndpoint } from "./modelEndpoint";

const endpoints = Array.from({ length: 9 }, (_none, at) => modelEndpoint(at));

/** Senders that share a pool and see each other's reports at once. */
class Senders {
  readonly world = new SimWorld(3, () => undefined);
  readonly reports = new Map<string, FailureReport>();
  readonly env = this.world.start("ingress", new SimDisk(this.world)).env;
  private readonly selectors: EndpointSelector[];

  constructor(count: number) {
    this.selectors = Array.from(
      { length: count },
      (_none, at) => new EndpointSelector(this.env, `s${at}`, (key, value) => this.reports.set(key, value)),
    );
  }
  choose(sender: number): Endpoint {
    const chosen = this.selectors[sender].choose(this.criteria())!;
    this.selectors[sender].requestStarted(chosen);
    this.selectors[sender].requestEnded(chosen, true);
    return chosen;
  }
  fail(sender: number, failed: Endpoint): void {
    this.selectors[sender].requestStarted(failed);
    this.selectors[sender].requestEnded(failed, false);
  }
  leaveUnanswered(sender: number, silent: Endpoint): () => void {
    return this.selectors[sender].expectAnswer(silent, 500);
  }
  hear(sender: number, from: Endpoint): void {
    this.selectors[sender].heardFrom(from);
  }
  private criteria(): SelectionCriteria {
    const snapshot: ClusterSnapshot = {
      revision: 1,
      control: undefined,
      members: [],
      endpoints,
      overloadedPools: {},
      reportedFailures: sumOfReports([...this.reports.values()]),
      isCurrent: true,
      clockTrusted: true,
    };
    const route = { pool: "model", route: "ask", caller: "", kind: "stream", prefix: "" };
    return { snapshot, ...route, workClass: "live", exclude: new Set() };
  }
}
const failuresAt = (counts: number[]): Record<string, number> =>
  Object.fromEntries(counts.map((count, at) => [endpoints[at].key, count]));

describe("outliers by the reports of all senders", () => {
  test("an endpoint that failed one request of each of two senders gets none of a third sender", () => {
    const senders = new Senders(3);
    senders.fail(0, endpoints[4]);
    senders.fail(1, endpoints[4]);
    for (let request = 0; request < 200; request += 1) expect(senders.choose(2).key).not.toBe(endpoints[4].key);
  });

  test("requests without any answer count as failures long before their deadline; answered ones don't", async () => {
    const senders = new Senders(3);
    senders.leaveUnanswered(0, endpoints[4]);
    senders.leaveUnanswered(1, endpoints[4]);
    const answered = [senders.leaveUnanswered(0, endpoints[5]), senders.leaveUnanswered(1, endpoints[5])];
    answered.forEach((answer) => answer());
    await senders.world.run(600);
    for (const sender of [0, 1]) senders.choose(sender);
    const chosen = new Set(Array.from({ length: 300 }, () => senders.choose(2).key));
    expect(chosen.has(endpoints[4].key)).toBe(false);
    expect(chosen.has(endpoints[5].key)).toBe(true);
  });

  test("a request that waits at an endpoint which goes on with other requests is no failure", async () => {
    const senders = new Senders(3);
    for (const sender of [0, 1]) senders.leaveUnanswered(sender, endpoints[4]);
    await senders.world.run(300);
    for (const sender of [0, 1]) senders.hear(sender, endpoints[4]);
    await senders.world.run(300);
    for (const sender of [0, 1]) senders.choose(sender);
    expect(senders.reports.size).toBe(0);
  });

  test("one failure ejects nobody, nor do failures that all endpoints have", () => {
    expect(sharedOutliers(endpoints, failuresAt([1])).size).toBe(0);
    expect(sharedOutliers(endpoints, failuresAt([6, 5, 6, 4, 5, 6, 5, 4, 6])).size).toBe(0);
    expect(sharedOutliers(endpoints, failuresAt([7, 3, 2, 4, 1, 3, 2, 3, 2])).size).toBe(0);
    expect(sharedOutliers([], {}).size).toBe(0);
  });

  test("at most a third of a pool is ejected at once, the worst first", () => {
    const outliers = sharedOutliers(endpoints, failuresAt([20, 30, 25, 15, 0, 0, 0, 0, 0]));
    expect([...outliers]).toEqual([endpoints[1].key, endpoints[2].key]);
    expect(sharedOutliers(endpoints, failuresAt([9, 9, 9, 9, 9, 0, 0, 0, 0])).size).toBeLessThanOrEqual(3);
    expect(sharedOutliers(endpoints.slice(0, 2), failuresAt([9])).size).toBe(0);
  });

  test("a report ends with its window, and what the others know enough of is not reported again", async () => {
    const senders = new Senders(8);
    for (let sender = 0; sender < 8; sender += 1) {
      senders.choose(sender);
      senders.fail(sender, endpoints[4]);
    }
    expect([...senders.reports.keys()]).toHaveLength(2 * Constants.sharedFailures);
    await senders.world.run(Constants.failureWindowMs + 1);
    senders.fail(0, endpoints[5]);
    expect(senders.reports.get("failures/s0")).toEqual({ failures: { [endpoints[5].key]: 1 } });
  });
});
