import { Experiment } from "./experiment";
import { IdleFleet } from "./idleFleet";

const overMs = 10_000;

async function idle(stores: number, seed: number): Promise<Record<string, number>> {
  const idleFleet = await IdleFleet.boot({ ingresses: 3, stores, controls: 4 }, seed);
  idleFleet.fleet.world.kill("operator");
  await idleFleet.fleet.run(1000);
  const spent = await idleFleet.over(overMs);
  idleFleet.end();
  return {
    bytes: spent.store.bytes,
    frames: spent.store.frames,
    wakeUps: spent.store.wakeUps,
    writes: spent.store.writes,
    controlBytes: spent.control.bytes,
    controlWakeUps: spent.control.wakeUps,
  };
}
/** One lot, from its acceptance until all its results are read; what the stores spent on it, idle time taken off. */
async function job(items: number, seed: number): Promise<Record<string, number>> {
  const idleFleet = await IdleFleet.boot({ ingresses: 2, stores: 4, controls: 4 }, seed);
  const idleRate = (await idleFleet.over(5000)).store;
  const before = idleFleet.spent("store");
  const from = idleFleet.fleet.world.now;
  const put = await idleFleet.fleet.send(
    "POST",
    "/v1/lots",
    { id: "L1", binding: "confirm", items: Array.from({ length: items }, (_none, at) => ({ n: at })) },
    {},
    idleFleet.fleet.plan.ingressHttp[0],
  );
  if (put?.status !== 202) {
    idleFleet.end();
    throw new Error(`a lot of ${items} items was not taken: ${put?.status} ${JSON.stringify(put?.body)}`);
  }
  const acceptedMs = idleFleet.fleet.world.now - from;
  let finished = false;
  for (let round = 0; round < 600 && !finished; round += 1) {
    const read = await idleFleet.fleet.send(
      "GET",
      `/v1/lots/L1/results?after=${items - 1}`,
      undefined,
      {},
      idleFleet.fleet.plan.ingressHttp[0],
    );
    finished = (read?.body as { finished?: boolean } | undefined)?.finished === true;
    await idleFleet.fleet.run(250);
  }
  const tookS = (idleFleet.fleet.world.now - from) / 1000;
  const now = idleFleet.spent("store");
  const cost = (name: "bytes" | "frames" | "writtenBytes" | "writes"): number =>
    (now[name] - before[name] - idleRate[name] * tookS) * 4;
  idleFleet.end();
  return {
    bytes: cost("bytes"),
    frames: cost("frames"),
    writtenBytes: cost("writtenBytes"),
    writes: cost("writes"),
    acceptedMs,
    tookMs: finished ? tookS * 1000 : NaN,
  };
}

/**
 * Stores: what eight shards cost them idle, and what a lot costs them all.
 *
 * @example
 * const measured = await StoreScale.lots.measure(240, 1);
 */
export const StorageExperiments = {
  /** @example await StoreScale.idle.measure(8, 1) */
  idle: {
    description: "A fleet that nobody calls, with 8 shards of three copies, against its stores, virtual time.",
    unit: "store",
    sizes: [4, 8, 16],
    bound: { name: "stores", min: 3, max: 60, reason: "with 8 shards of three copies, more than 24 hold nothing" },
    metrics: {
      bytes: { description: "bytes put out a store a second", isDeterministic: true },
      frames: { description: "frames put out a store a second", isDeterministic: true },
      wakeUps: { description: "timers that fire a store a second", isDeterministic: true },
      writes: { description: "synced writes a store a second", isDeterministic: true },
      controlBytes: { description: "bytes put out a control machine a second", isDeterministic: true },
      controlWakeUps: { description: "timers that fire a control machine a second", isDeterministic: true },
    },
    measure: idle,
  } as Experiment,
  /** @example await StoreScale.lots.measure(240, 1) */
  batchJobs: {
    description:
      "One lot from acceptance to its last result, three copies on 4 stores, items of 10 bytes, against its items, virtual time.",
    unit: "item",
    sizes: [24, 240, 1000, 2000],
    bound: { name: "items", min: 1, max: 300_000, reason: "the largest lot asked for" },
    metrics: {
      bytes: { description: "bytes put out by all stores together", isDeterministic: true },
      frames: { description: "frames put out by all stores together", isDeterministic: true },
      writtenBytes: { description: "bytes written to all disks together", isDeterministic: true },
      writes: { description: "synced writes of all stores together", isDeterministic: true },
      tookMs: { description: "ms from handing in to the last result read, one lot alone", isDeterministic: true },
    },
    measure: job,
  } as Experiment,
};
