import type { ConsensusGroup } from "../consensus/consensusGroup";
import type { Rpc } from "../rpc/rpc";
import type { Environment } from "../runtime/env";
import type { SimDisk } from "../simulation/simDisk";
import type { SimProcess } from "../simulation/simProcess";

/** One run of a machine's process, from its start to its end. */
export interface Incarnation {
  /** Id of the replica. A restart keeps it; a machine whose disk was wiped gets a new one. */
  id: string;
  process: SimProcess;
  group: ConsensusGroup;
}

/** One machine. Its address and disk stay the same, while its process and replica may be replaced. */
export interface Machine {
  name: string;
  address: string;
  disk: SimDisk;
  incarnation: Incarnation;
  /** Number of times its disk was wiped. */
  wipes: number;
  /** Whether the current process has read its disk. */
  isOpen: boolean;
}

/** Hooks with which a test injects faults into the code under test, to check that an invariant detects them. */
export interface FaultInjection {
  env?: (env: Environment) => Environment;
  rpc?: (rpc: Rpc, id: string) => void;
  group?: (group: ConsensusGroup) => void;
}
