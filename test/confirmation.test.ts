import { ReadIndexConfirmation, ReadIndex } from "../src/node/readIndexConfirmation";
import { RecentConfirmation } from "../src/node/recentConfirmation";
import { Constants } from "../src/common/constants";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";
import { Rpc } from "../src/rpc/rpc";

/** A confirmation whose read index and configuration are set by the test. */
class ConfirmationFixture {
  readonly world = new SimWorld(1);
  readonly env = this.world.start("node", new SimDisk(this.world)).env;
  readIndex: ReadIndex | undefined;
  private configuration = ControlSnapshot.of({ ...ControlState.empty(), group: "g" }, 5);
  /** Number of requests for a read index. */
  requests = 0;
  readonly confirmation = new ReadIndexConfirmation(this.env, new Rpc(this.env, "test", "node"), {
    own: () => this.readIndex,
    source: () => {
      this.requests += 1;
      return undefined;
    },
    configuration: () => this.configuration,
    announced: () => undefined,
  });
  setConfiguration(group: string, index: number): void {
    this.configuration = ControlSnapshot.of({ ...ControlState.empty(), group }, index);
  }
  now = (): number => this.env.monotonicMs();
}

test("a configuration is confirmed if it is at least as new as a read index of the same group from after the start", async () => {
  const fixture = new ConfirmationFixture();
  const { confirmation } = fixture;
  fixture.readIndex = { group: "g", index: 5, at: fixture.now() };
  expect(confirmation.isConfirmed()).toBe(false); // The read index is from the time of the start, not from after it.
  await fixture.world.run(10);
  fixture.readIndex = { group: "g", index: 9, at: fixture.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  fixture.setConfiguration("g", 8);
  expect(confirmation.isConfirmed()).toBe(false);
  fixture.setConfiguration("other", 9);
  expect(confirmation.isConfirmed()).toBe(false);
  fixture.setConfiguration("g", 9);
  expect(confirmation.isConfirmed()).toBe(true);
});
test("a configuration stays confirmed without a read index of the leader until it is invalidated", async () => {
  const fixture = new ConfirmationFixture();
  const { confirmation } = fixture;
  await fixture.world.run(10);
  fixture.readIndex = { group: "g", index: 5, at: fixture.now() };
  expect(confirmation.isConfirmed()).toBe(true);
  fixture.readIndex = undefined;
  await fixture.world.run(60_000);
  expect(confirmation.isConfirmed()).toBe(true);
  confirmation.invalidate();
  expect(confirmation.isConfirmed()).toBe(false);
  await fixture.world.run(10);
  fixture.readIndex = { group: "g", index: 6, at: fixture.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  fixture.setConfiguration("g", 6);
  expect(confirmation.isConfirmed()).toBe(true);
});
test("a read index of a group recovered by an operator counts, one of the group before its recovery no longer does", async () => {
  const fixture = new ConfirmationFixture();
  const { confirmation } = fixture;
  await fixture.world.run(10);
  fixture.readIndex = { group: "g+1", index: 1_000_005, at: fixture.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  await fixture.world.run(10);
  fixture.readIndex = { group: "g", index: 5, at: fixture.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  fixture.setConfiguration("g+1", 1_000_005);
  expect(confirmation.isConfirmed()).toBe(true);
});

describe("a configuration is recent", () => {
  // Guards against batch items that start by an old configuration at a store that nobody tells of a newer one.
  test("only within a bounded time of a read index that confirms it, although it stays confirmed", async () => {
    const fixture = new ConfirmationFixture();
    const recent = new RecentConfirmation(fixture.env, fixture.confirmation);
    await fixture.world.run(10);
    expect(recent.isRecent()).toBe(false);
    fixture.readIndex = { group: "g", index: 5, at: fixture.now() };
    expect(recent.isRecent()).toBe(true);
    fixture.readIndex = undefined;
    await fixture.world.run(Constants.recentConfirmationMs);
    expect(recent.isRecent()).toBe(true);
    await fixture.world.run(1);
    expect([recent.isRecent(), fixture.confirmation.isConfirmed()]).toEqual([false, true]);
  });
  test("not while the read index is of a newer configuration or of another group", async () => {
    const fixture = new ConfirmationFixture();
    const recent = new RecentConfirmation(fixture.env, fixture.confirmation);
    await fixture.world.run(10);
    fixture.readIndex = { group: "g", index: 6, at: fixture.now() };
    expect(recent.isRecent()).toBe(false);
    fixture.setConfiguration("other", 6);
    expect(recent.isRecent()).toBe(false);
    fixture.setConfiguration("g", 6);
    expect(recent.isRecent()).toBe(true);
  });
  test("and read indexes are requested only while somebody asks whether it is", async () => {
    const fixture = new ConfirmationFixture();
    const recent = new RecentConfirmation(fixture.env, fixture.confirmation);
    recent.start();
    await fixture.world.run(10_000);
    expect(fixture.requests).toBe(0);
    recent.isRecent();
    await fixture.world.run(10_000);
    expect(fixture.requests).toBe(1);
  });
});
