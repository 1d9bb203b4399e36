import { RecoveryTimes, RecoveryTrial, ReplicaRecovery } from "./replicaRecoveryTrial";

/** Number of trials. `COPY_SEEDS=150` runs the long campaign and prints its figures. */
const TRIAL_COUNT = +(process.env.COPY_SEEDS ?? 9);
/** The `sync_time_s` setting of the smaller site, converted to ms. */
const LIMIT_MS = 4700;

test("after the loss of a storage node, each shard has all its replicas again within the allowed time", async () => {
  const all: { trial: RecoveryTrial; times: RecoveryTimes }[] = [];
  for (const trial of ReplicaRecovery.trials(TRIAL_COUNT)) all.push({ trial, times: await ReplicaRecovery.run(trial) });
  if (process.env.COPY_SEEDS) console.log(ReplicaRecovery.summary(all));
  expect(all.filter(({ times }) => !(times.completeMs! <= LIMIT_MS))).toEqual([]);
}, 3_600_000);
