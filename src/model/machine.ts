import type { ConsensusGroup } from "../consensus/consensusGroup";
import type { Rpc } from "../rpc/rpc";
import type { Environment } from "../runtime/env";
import type { SimDisk } from "../simulation/simDisk";
import type { SimProcess } from "../simulation/simProcess";

/** One run of a machine's process, from start to end. */
export interface Incarnation {
  /** Id of the replica: the same after a restart, a new one after the disk was emptied. */
  id: string;
  process: SimProcess;
  group: ConsensusGroup;
}

/** One machine: its address and disk stay, process and replica may be replaced. */
export interface Machine {
  name: string;
  address: string;
  disk: SimDisk;
  incarnation: Incarnation;
  /** How often its disk was emptied. */
  wipes: number;
  /** Whether the present process has read its disk. */
  isOpen: boolean;
}

/** Faults of the product itself, which a test puts between the group and its world to see that an invariant notices. */
export interface FaultInjection {
  env?: (env: Environment) => Environment;
  rpc?: (rpc: Rpc, id: string) => void;
  group?: (group: ConsensusGroup) => void;
}
