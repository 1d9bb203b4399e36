import { ControlSnapshot } from "../controlState/controlSnapshot";
import { Member } from "../membership/member";

/**
 * A process that serves requests, as it announced itself. It is passed on by gossip under these field names, so they
 * stay as they are.
 */
export interface Endpoint {
  /** Key of the gossip fact, `replica/<id>/<instance>`. */
  key: string;
  id: string;
  /** Tells restarts of the same id apart. */
  instance: string;
  /** Host and port of its HTTP server. */
  address: string;
  /** Name of the endpoint pool that it belongs to. */
  pool: string;
  /** Failure domain (region and zone). */
  district: string;
  /** Version of the software or model that it serves. */
  version: string;
  /** Requests that it processes at a time. */
  capacity: number;
  /** Requests in process, by its own count. */
  active: number;
  /** Requests in its own queue. */
  waiting: number;
  /** When this instance announced itself first, wall clock ms. */
  bornAt: number;
  /** Unheard of for more than two announcements: used only if there is no other. */
  quiet?: boolean;
  /** Until then it is warming up, wall clock ms. */
  warmAt?: number;
  /** Sequence number of the last announcement that was applied. */
  sequence?: number;
}

/** Everything that a process bases its decisions on: immutable, and replaced as a whole. */
export interface ClusterSnapshot {
  /** Rises with every change in this process. */
  revision: number;
  /** Configuration and control state; undefined until the first has arrived. */
  control: ControlSnapshot | undefined;
  /** Members that are alive or suspected, by id. */
  members: Member[];
  /** The newest instance of every endpoint whose lease runs. */
  endpoints: Endpoint[];
  /** True for pools where some node recently had to queue live requests. */
  overloadedPools: Record<string, boolean>;
  /** Digests were exchanged lately, and the control leader confirmed the configuration since the last start or freeze. */
  isCurrent: boolean;
  /** Whether the clock is within its bound of the other members' clocks. */
  clockTrusted: boolean;
}
