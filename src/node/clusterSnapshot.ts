import { ControlSnapshot } from "../control/controlState";
import { Member } from "../membership/member";

export type Endpoint = {
  key: string;
  id: string;
  instance: string;
  address: string;
  pool: string;
  district: string;
  version: string;
  capacity: number;
  active: number;
  waiting: number;
  bornAt: number;
  quiet?: boolean; // not heard of for over two announcements: the last choice
  warmAt?: number; // wall ms; until then it is cold
  sequence?: number; // of the last announcement taken in
};
/** Everything a process acts on, immutable and swapped whole. */
export type ClusterSnapshot = {
  number: number;
  control: ControlSnapshot | undefined;
  members: Member[];
  replicas: Endpoint[];
  crowded: Record<string, boolean>; // by pool: some node had to make live work wait just now
  fresh: boolean; // heard of others lately, and confirmed by the control lead since the start and the last freeze
  vouched: boolean; // our clock is within δ
};
