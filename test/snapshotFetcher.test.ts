import { Constants } from "../src/common/constants";
import { SnapshotFetcher } from "../src/membership/snapshotFetcher";
import { EnvironmentTools } from "../src/runtime/env";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const FETCH_MS = 10;

/** A fetcher whose members have a snapshot index each, or are silent for as long as a fetch may take. */
class FetcherFixture {
  readonly world = new SimWorld(1);
  readonly fetched: string[] = [];
  readonly silent = new Set<string>();
  readonly indexes = new Map<string, number>();
  ownIndex = 0;
  exhaustedCount = 0;
  readonly fetcher: SnapshotFetcher;

  constructor() {
    const { env } = this.world.start("node", new SimDisk(this.world));
    const fixture = this;
    this.fetcher = new SnapshotFetcher(env, {
      ownIndex: () => this.ownIndex,
      sourcesExhausted: () => (this.exhaustedCount += 1),
      *fetch(address) {
        fixture.fetched.push(address);
        const index = fixture.indexes.get(address) ?? 0;
        const isSilent = fixture.silent.has(address);
        yield* EnvironmentTools.sleep(env, isSilent ? Constants.snapshotFetchTimeoutMs : FETCH_MS);
        if (!isSilent) fixture.ownIndex = Math.max(fixture.ownIndex, index);
      },
    });
    this.fetcher.start();
  }
  announce(address: string, index: number): void {
    this.indexes.set(address, index);
    this.fetcher.announced(address, index);
  }
}

// Guards against a silent member that delays the fetch of a configuration from others (users' rule CONFIG).
describe("the fetches of announced control snapshots", () => {
  test("go to the next member while the first one is silent, and to no more members than needed", async () => {
    const fixture = new FetcherFixture();
    fixture.silent.add("a");
    fixture.announce("a", 5);
    await fixture.world.run(1);
    fixture.announce("b", 5);
    fixture.announce("c", 5);
    await fixture.world.run(Constants.snapshotHedgeMs + 2 * FETCH_MS);
    expect([fixture.ownIndex, fixture.fetched]).toEqual([5, ["a", "c"]]);
  });
  test("include a snapshot that a member announced during the fetch from it", async () => {
    const fixture = new FetcherFixture();
    fixture.announce("a", 5);
    await fixture.world.run(FETCH_MS / 2);
    fixture.announce("a", 6);
    await fixture.world.run(4 * FETCH_MS);
    expect([fixture.ownIndex, fixture.fetched]).toEqual([6, ["a", "a"]]);
  });
  test("report that no member is left once all have failed, and never exceed their maximum number", async () => {
    const fixture = new FetcherFixture();
    const members = ["a", "b", "c", "d", "e"];
    for (const member of members) fixture.silent.add(member);
    for (const member of members) fixture.announce(member, 5);
    await fixture.world.run(Constants.snapshotFetchTimeoutMs - 1);
    expect(fixture.fetched).toHaveLength(Constants.snapshotFetchesMax);
    await fixture.world.run(3 * Constants.snapshotFetchTimeoutMs);
    expect([fixture.fetched.length, fixture.exhaustedCount, fixture.ownIndex]).toEqual([members.length, 1, 0]);
  });
});
