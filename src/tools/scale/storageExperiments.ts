import { Experiment } from "./experiment";
import { IdleFleet } from "./idleFleet";

const MEASURED_MS = 10_000;

async function measureIdle(stores: number, seed: number): Promise<Record<string, number>> {
  const idleFleet = await IdleFleet.boot({ ingresses: 3, stores, controls: 4 }, seed);
  idleFleet.fleet.world.kill("operator");
  await idleFleet.fleet.run(1000);
  const rates = await idleFleet.measureRates(MEASURED_MS);
  idleFleet.end();
  return {
    bytes: rates.store.bytes,
    frames: rates.store.frames,
    wakeUps: rates.store.wakeUps,
    writes: rates.store.writes,
    controlBytes: rates.control.bytes,
    controlWakeUps: rates.control.wakeUps,
  };
}
/** Runs one batch job until all its results are read; returns what the storage nodes used for it, less what they use when idle. */
async function measureBatchJob(items: number, seed: number): Promise<Record<string, number>> {
  const idleFleet = await IdleFleet.boot({ ingresses: 2, stores: 4, controls: 4 }, seed);
  const idleRates = (await idleFleet.measureRates(5000)).store;
  const before = idleFleet.averageCounts("store");
  const startedAt = idleFleet.fleet.world.now;
  const submitted = await idleFleet.fleet.send(
    "POST",
    "/v1/lots",
    { id: "L1", binding: "confirm", items: Array.from({ length: items }, (_none, index) => ({ n: index })) },
    {},
    idleFleet.fleet.plan.ingressHttp[0],
  );
  if (submitted?.status !== 202) {
    idleFleet.end();
    throw new Error(
      `a batch job of ${items} items was not accepted: ${submitted?.status} ${JSON.stringify(submitted?.body)}`,
    );
  }
  const acceptedMs = idleFleet.fleet.world.now - startedAt;
  let isFinished = false;
  for (let attempt = 0; attempt < 600 && !isFinished; attempt += 1) {
    const response = await idleFleet.fleet.send(
      "GET",
      `/v1/lots/L1/results?after=${items - 1}`,
      undefined,
      {},
      idleFleet.fleet.plan.ingressHttp[0],
    );
    isFinished = (response?.body as { finished?: boolean } | undefined)?.finished === true;
    await idleFleet.fleet.run(250);
  }
  const tookS = (idleFleet.fleet.world.now - startedAt) / 1000;
  const after = idleFleet.averageCounts("store");
  const cost = (name: "bytes" | "frames" | "writtenBytes" | "writes"): number =>
    (after[name] - before[name] - idleRates[name] * tookS) * 4;
  idleFleet.end();
  return {
    bytes: cost("bytes"),
    frames: cost("frames"),
    writtenBytes: cost("writtenBytes"),
    writes: cost("writes"),
    acceptedMs,
    tookMs: isFinished ? tookS * 1000 : NaN,
  };
}

/** Measures what eight shards cost idle storage nodes, and what a batch job costs all storage nodes together. */
export const StorageExperiments = {
  idle: {
    description:
      "A fleet without traffic, with 8 shards of three replicas, by the number of storage nodes: virtual time.",
    unit: "storage node",
    sizes: [4, 8, 16],
    bound: { name: "stores", min: 3, max: 60, reason: "8 shards of three replicas leave nothing for more than 24" },
    metrics: {
      bytes: { description: "bytes sent by a storage node per second", isDeterministic: true },
      frames: { description: "frames sent by a storage node per second", isDeterministic: true },
      wakeUps: { description: "timers that fire at a storage node per second", isDeterministic: true },
      writes: { description: "synced writes of a storage node per second", isDeterministic: true },
      controlBytes: { description: "bytes sent by a control node per second", isDeterministic: true },
      controlWakeUps: { description: "timers that fire at a control node per second", isDeterministic: true },
    },
    measure: measureIdle,
  } as Experiment,
  batchJobs: {
    description:
      "One batch job from its submission to its last result, three replicas on 4 storage nodes, items of 10 bytes, by the number of items: virtual time.",
    unit: "item",
    sizes: [24, 240, 1000, 2000],
    bound: { name: "items", min: 1, max: 300_000, reason: "the largest batch job that is required" },
    metrics: {
      bytes: { description: "bytes sent by all storage nodes together", isDeterministic: true },
      frames: { description: "frames sent by all storage nodes together", isDeterministic: true },
      writtenBytes: { description: "bytes written to all disks together", isDeterministic: true },
      writes: { description: "synced writes of all storage nodes together", isDeterministic: true },
      tookMs: {
        description: "ms from the submission until the last result is read, without other jobs",
        isDeterministic: true,
      },
    },
    measure: measureBatchJob,
  } as Experiment,
};
