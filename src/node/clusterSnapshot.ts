import { ControlSnapshot } from "../controlState/controlSnapshot";
import { Member } from "../membership/member";

/**
 * A process that serves requests, as it announced itself. The field names are part of the wire format, because gossip
 * spreads endpoints as facts.
 */
export interface Endpoint {
  /** Key of the gossip fact, `replica/<id>/<instance>`. */
  key: string;
  id: string;
  /** Distinguishes restarts of the same endpoint. */
  instance: string;
  /** Host and port of its HTTP server. */
  address: string;
  /** Name of the endpoint pool that it belongs to. */
  pool: string;
  /** Failure domain (region and zone). */
  district: string;
  /** Version of the software or model that it serves. */
  version: string;
  /** Number of requests that it can process at a time. */
  capacity: number;
  /** Number of requests that it is processing, by its own count. */
  active: number;
  /** Number of requests in its own queue. */
  waiting: number;
  /** Time of the first announcement of this instance, wall clock ms. */
  bornAt: number;
  /** Whether more than two announcements are overdue; the endpoint is then used only if there is no other. */
  quiet?: boolean;
  /** End of warming up, wall clock ms. */
  warmAt?: number;
  /** Sequence number of the last announcement that was applied. */
  sequence?: number;
}

/** The state of the cluster on which a process bases its decisions; it is immutable and replaced as a whole. */
export interface ClusterSnapshot {
  /** Increases with every change in this process. */
  revision: number;
  /** Configuration and control state; undefined until the first control snapshot has arrived. */
  control: ControlSnapshot | undefined;
  /** Members that are alive or suspected, in the order of their ids. */
  members: Member[];
  /** The newest instance of every endpoint with an unexpired lease. */
  endpoints: Endpoint[];
  /** True for each pool for which some node recently had to queue live requests. */
  overloadedPools: Record<string, boolean>;
  /**
   * Whether digests were exchanged recently, and the control leader has confirmed the configuration since the last
   * start or freeze.
   */
  isCurrent: boolean;
  /** Whether this process's clock is close enough to the other members' clocks. */
  clockTrusted: boolean;
}
