import { RecoveryTimes, RecoveryTrial, ReplicaRecovery } from "./replicaRecoveryTrial";

/** `COPY_SEEDS=150` plays the long campaign and prints its figures. */
const seeds = +(process.env.COPY_SEEDS ?? 9);
/** `sync_time_s` of the smaller site. */
const limitMs = 4700;

test("each shard has all its replicas again within the time that the loss of a storage node counts", async () => {
  const all: { trial: RecoveryTrial; times: RecoveryTimes }[] = [];
  for (const trial of ReplicaRecovery.trials(seeds)) all.push({ trial, times: await ReplicaRecovery.run(trial) });
  if (process.env.COPY_SEEDS) console.log(ReplicaRecovery.summary(all));
  expect(all.filter(({ times }) => !(times.completeMs! <= limitMs))).toEqual([]);
}, 3_600_000);
