import { Constants } from "../src/common/constants";
import { Fault } from "../src/common/fault";
import { Task } from "../src/runtime/csp";
import { Disk, Environment, EnvironmentTools } from "../src/runtime/env";
import { ShardReplica } from "../src/shard/shardReplica";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";
import { runInProcess, runRequest, startLeader } from "./singleReplica";

// Guards against a shard replica that one failure of its disk makes useless, or busy, for the life of its process.

const FAULT_MS = 5000;
const SMALL_SEGMENTS = { works: 4, lots: 4 };
/** A task that fails as often in 5 s does not pause between its attempts. */
const ATTEMPTS_MAX = 100;

/** A replica on a disk whose operations a test can replace while it runs. */
class ReplicaOnDisk {
  readonly world = new SimWorld(5);
  readonly disk = new SimDisk(this.world);
  readonly process: SimProcess;
  /** Operations that are replaced at the moment. */
  replaced: Partial<Disk> = {};

  constructor() {
    this.world.wrapEnvironment = (env) => ({ ...env, disk: this.wrap(env.disk) });
    this.process = this.world.start("s1", this.disk);
  }
  private wrap(disk: Disk): Disk {
    return {
      ...disk,
      write: (file, data) => (this.replaced.write ?? disk.write)(file, data),
      read: (file) => (this.replaced.read ?? disk.read)(file),
    };
  }
  run<T>(body: (env: Environment) => Task<T>): Promise<T> {
    return runInProcess(this.world, this.process, () => body(this.process.env));
  }
  /** Starts the replica with its first requests. */
  start(): Promise<ShardReplica> {
    const { process } = this;
    return this.run(function* () {
      const replica = yield* startLeader(process, 1);
      for (let n = 0; n < 3; n += 1) yield* runRequest(replica, process, `early-${n}`);
      return replica;
    });
  }
  /** Tries the disk every second, as the storage node does, for some time. */
  retryFor(replica: ShardReplica, ms: number): Promise<void> {
    return this.run(function* (env) {
      for (const until = env.monotonicMs() + ms; env.monotonicMs() < until;) {
        yield* replica.retryDisk();
        yield* EnvironmentTools.sleep(env, 1000);
      }
    });
  }
}

describe("a shard replica", () => {
  const originalConstants = { ...Constants };
  afterEach(() => void Object.assign(Constants, originalConstants));

  test("whose segments cannot be written for a while tries again with pauses, and keeps every request", async () => {
    Object.assign(Constants, { segmentObjects: SMALL_SEGMENTS });
    const bed = new ReplicaOnDisk();
    const replica = await bed.start();
    let attempts = 0;
    const { disk, process } = bed;
    const working = disk.forProcess(process);
    bed.replaced.write = function* (file, data) {
      if (!/\.(seg|idx)$/.test(file)) return yield* working.write(file, data);
      attempts += 1;
      if (attempts > ATTEMPTS_MAX) throw new Error("no pause between attempts to write a segment");
      return Fault.fail("disk", `write ${file}`, "s1", "ENOSPC");
    };
    await bed.run(function* (env) {
      for (let n = 0; n < 3 * SMALL_SEGMENTS.works && replica.holdsLease(); n += 1)
        yield* runRequest(replica, process, `full-${n}`);
      yield* EnvironmentTools.sleep(env, 1000);
    });
    await bed.retryFor(replica, FAULT_MS);
    bed.replaced = {};
    expect(attempts).toBeGreaterThan(0);
    await bed.retryFor(replica, FAULT_MS);
    expect(replica.status().broken).toBe(false);
    await bed.run(function* () {
      const read = yield* replica.liveRequest("early-0");
      expect(read.ok && read.value?.state).toBe("done");
    });
  });

  test("whose disk is tried again in vain, by an exception, is tried once more", async () => {
    const bed = new ReplicaOnDisk();
    const replica = await bed.start();
    await failOneWrite(bed, replica);
    bed.replaced.read = () => {
      throw new Error("planted");
    };
    await expect(bed.run(() => swallow(() => replica.retryDisk()))).resolves.toBe("planted");
    bed.replaced = {};
    expect(replica.status().broken).toBe(true);
    await bed.retryFor(replica, 1000);
    expect(replica.status()).toMatchObject({ broken: false, role: "member" });
  });

  test("whose disk has lost acknowledged entries is not used again", async () => {
    const bed = new ReplicaOnDisk();
    const replica = await bed.start();
    await failOneWrite(bed, replica);
    const working = bed.disk.forProcess(bed.process);
    bed.replaced.read = function* (file) {
      const read = yield* working.read(file);
      const isLog = read.ok && read.value && file.includes("/log-");
      return isLog ? Fault.ok(read.value!.subarray(0, read.value!.length / 2)) : read;
    };
    await bed.retryFor(replica, 3000);
    expect(replica.status().broken).toBe(true);
  });
});

/** Makes one append fail, at the leader, so that the replica no longer uses its disk. */
async function failOneWrite(bed: ReplicaOnDisk, replica: ShardReplica): Promise<void> {
  bed.disk.full = true;
  await bed.run(() => swallow(() => runRequest(replica, bed.process, "refused")));
  bed.disk.full = false;
  expect(replica.status().broken).toBe(true);
}
/** Runs a task; returns the message of the error that it ends with, if any. */
function* swallow(body: () => Task<unknown>): Task<string> {
  try {
    yield* body();
    return "";
  } catch (error) {
    return (error as Error).message;
  }
}
