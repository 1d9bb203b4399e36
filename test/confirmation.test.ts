import { ReadIndexConfirmation, ReadIndex } from "../src/node/readIndexConfirmation";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";
import { Rpc } from "../src/rpc/rpc";

/** A confirmation whose read index and configuration are set by hand. */
class Bench {
  readonly world = new SimWorld(1);
  private readonly env = this.world.start("node", new SimDisk(this.world)).env;
  readIndex: ReadIndex | undefined;
  private configuration = ControlSnapshot.of({ ...ControlState.empty(), group: "g" }, 5);
  readonly confirmation = new ReadIndexConfirmation(this.env, new Rpc(this.env, "test", "node"), {
    own: () => this.readIndex,
    source: () => undefined,
    configuration: () => this.configuration,
    *fetch() {},
  });
  hold(group: string, index: number): void {
    this.configuration = ControlSnapshot.of({ ...ControlState.empty(), group }, index);
  }
  now = (): number => this.env.monotonicMs();
}

test("confirmed is what is at least as new as a read index taken after the start, of the same group", async () => {
  const bench = new Bench();
  const { confirmation } = bench;
  bench.readIndex = { group: "g", index: 5, at: bench.now() };
  expect(confirmation.isConfirmed()).toBe(false); // taken at the start, not after it
  await bench.world.run(10);
  bench.readIndex = { group: "g", index: 9, at: bench.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  bench.hold("g", 8);
  expect(confirmation.isConfirmed()).toBe(false);
  bench.hold("other", 9);
  expect(confirmation.isConfirmed()).toBe(false);
  bench.hold("g", 9);
  expect(confirmation.isConfirmed()).toBe(true);
});
test("it stays confirmed without the lead's word, until that is required anew", async () => {
  const bench = new Bench();
  const { confirmation } = bench;
  await bench.world.run(10);
  bench.readIndex = { group: "g", index: 5, at: bench.now() };
  expect(confirmation.isConfirmed()).toBe(true);
  bench.readIndex = undefined;
  await bench.world.run(60_000);
  expect(confirmation.isConfirmed()).toBe(true);
  confirmation.invalidate();
  expect(confirmation.isConfirmed()).toBe(false);
  await bench.world.run(10);
  bench.readIndex = { group: "g", index: 6, at: bench.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  bench.hold("g", 6);
  expect(confirmation.isConfirmed()).toBe(true);
});
test("a group recovered by an operator counts, its former self no longer does", async () => {
  const bench = new Bench();
  const { confirmation } = bench;
  await bench.world.run(10);
  bench.readIndex = { group: "g+1", index: 1_000_005, at: bench.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  await bench.world.run(10);
  bench.readIndex = { group: "g", index: 5, at: bench.now() };
  expect(confirmation.isConfirmed()).toBe(false);
  bench.hold("g+1", 1_000_005);
  expect(confirmation.isConfirmed()).toBe(true);
});
