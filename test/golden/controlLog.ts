import { LogStore } from "../../src/consensus/logStore";
import { ReplicatedLog } from "../../src/consensus/replicatedLog";
import { CheckpointedLog } from "../../src/runtime/checkpointedLog";
import { SimDisk } from "../../src/simulation/simDisk";
import { SimWorld } from "../../src/simulation/simWorld";

/** The state of a control log after it was opened. */
export type ControlLogContent = {
  term: number;
  votedFor: string;
  lastIndex: number;
  voters: string[];
  snapshotIndex: number;
  snapshotTerm: number;
  /** Index and term of each entry after the snapshot. */
  entries: [index: number, term: number][];
};
const LOG_FOLDER = "data/group";

/** Opens a control log from the files of its folder. */
export async function openControlLog(files: Record<string, Buffer>): Promise<ControlLogContent> {
  const world = new SimWorld(1);
  const process = world.start("control-1", new SimDisk(world));
  const log = new ReplicatedLog(new LogStore(new CheckpointedLog(process.env, LOG_FOLDER)));
  const opened = await world.runTask(
    process,
    function* () {
      for (const [file, content] of Object.entries(files))
        yield* process.env.disk.write(`${LOG_FOLDER}/${file}`, content);
      return yield* log.open();
    },
    60_000,
  );
  if (!opened?.ok) throw new Error(JSON.stringify(opened));
  return {
    term: log.currentTerm,
    votedFor: log.votedFor,
    lastIndex: log.lastIndex(),
    voters: log.voters(),
    snapshotIndex: log.snapshotIndex,
    snapshotTerm: log.snapshotTerm,
    entries: log.entries.map(({ index, term }) => [index, term]),
  };
}
/** Returns the consensus log files of a control member's data folder, with or without the snapshot files. */
export const groupFiles = (files: Record<string, Buffer>, withSnapshot: boolean): Record<string, Buffer> =>
  Object.fromEntries(
    Object.entries(files)
      .filter(([file]) => file.startsWith("group/") && (withSnapshot || !file.startsWith("group/slot-")))
      .map(([file, content]) => [file.slice("group/".length), content]),
  );
