import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { Endpoint } from "./clusterSnapshot";
import { Node } from "./node";

/** Periodic announcement by which an endpoint describes itself and renews its lease. */
export type Announcement = Omit<Endpoint, "key" | "bornAt" | "instance" | "warmAt"> & {
  /** Distinguishes restarts of the endpoint; omitted by an endpoint that does not name them. */
  instance?: string;
  /** Whether the endpoint accepts no new requests from now on. This withdraws it, and may be repeated. */
  leaving?: boolean;
  /** Remaining time of warming up, ms. */
  warmLeftMs?: number;
  /** Increases with every announcement, so that a delayed one is recognized. */
  sequence?: number;
};

/** The response to an announcement. */
export interface AnnouncementResult {
  readonly instance?: string;
  /** The instance is withdrawn permanently. */
  readonly gone?: true;
  /** A later announcement has already been applied. */
  readonly late?: true;
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /** See `EndpointAnnouncements.announce`. Faults: conflict. Idempotent by the sequence number and tombstones. */
    "agent.announce": RpcMethod<Announcement, AnnouncementResult>;
    /** See `EndpointAnnouncements.withdraw`. Has no faults of its own. Idempotent: a tombstone is permanent. */
    "agent.goodbye": RpcMethod<{ readonly id: string }, true>;
    /** Publishes an urgent fact for an ingress. Has no faults of its own. Idempotent: facts are applied by version. */
    "agent.tell": RpcMethod<{ readonly key: string; readonly value: unknown; readonly grantMs: number }, true>;
  }
}

type EndpointFact = Omit<Endpoint, "key">;

const keyOf = (id: string, instance: string): string => `replica/${id}/${instance}`;
const FIRST_INSTANCE = "0";

/** Responds to an announcement of a withdrawn instance: acknowledges a repeated or delayed one, rejects a new one. */
function announceWithdrawn(
  announcement: Announcement,
  key: string,
  known: EndpointFact | undefined,
): Result<AnnouncementResult> {
  const isLate = announcement.sequence !== undefined && announcement.sequence <= (known?.sequence ?? Infinity);
  if (announcement.leaving || isLate) return Fault.ok({ instance: announcement.instance, gone: true as const });
  return Fault.fail("conflict", "announce", announcement.id, `instance ${key} has said goodbye`);
}

const isLater = (announcement: Announcement, before: EndpointFact | undefined): boolean =>
  before?.sequence === undefined || announcement.sequence === undefined || announcement.sequence >= before.sequence;

/** Whether the end of warming up has changed by more than network delays explain. */
const warmUpEndChanged = (value: EndpointFact, before: EndpointFact | undefined): boolean =>
  Math.abs((value.warmAt ?? 0) - (before?.warmAt ?? 0)) > Constants.warmUpToleranceMs;

const equalsExceptTimes = (value: EndpointFact, before: EndpointFact): boolean =>
  JSON.stringify({ ...before, warmAt: 0, sequence: 0 }) === JSON.stringify({ ...value, warmAt: 0, sequence: 0 });

/**
 * Returns the instance that an announcement refers to. An endpoint that does not name its restarts continues its newest
 * instance; if that was withdrawn some time ago, the endpoint has been restarted and gets a new instance.
 */
function instanceOf({ gossip, env }: Node, announcement: Announcement): string {
  const latest = gossip.live(`replica/${announcement.id}/`)[0]?.value as EndpointFact | undefined;
  const instance = announcement.instance ?? latest?.instance ?? FIRST_INSTANCE;
  const key = keyOf(announcement.id, instance);
  const mayRestart = announcement.instance === undefined && !announcement.leaving;
  const hasRestarted = mayRestart && gossip.isRemoved(key) && !(gossip.ageMs(key) < Constants.reannounceDelayMs);
  return hasRestarted ? `i${Math.floor(env.wallClockMs())}` : instance;
}

/** @param now wall clock, ms */
function factOf(
  { leaving: _leaving, warmLeftMs, ...announced }: Announcement,
  instance: string,
  before: EndpointFact | undefined,
  now: number,
): EndpointFact {
  const warmAt = warmLeftMs === undefined ? {} : { warmAt: warmLeftMs > 0 ? now + warmLeftMs : 0 };
  return { ...announced, instance, bornAt: before?.bornAt ?? now, ...warmAt };
}

/** Endpoints announce themselves to any node, which publishes them by gossip; this does not need a control leader. */
export const EndpointAnnouncements = {
  /** Publishes an endpoint or renews its lease. Faults: conflict if the instance was withdrawn. */
  *announce(node: Node, announcement: Announcement): Task<Result<AnnouncementResult>> {
    const { gossip, env } = node;
    const instance = instanceOf(node, announcement);
    const key = keyOf(announcement.id, instance);
    if (gossip.isRemoved(key))
      return announceWithdrawn(announcement, key, gossip.find(key)?.value as EndpointFact | undefined);
    const before = gossip.live(key)[0]?.value as EndpointFact | undefined;
    if (!isLater(announcement, before)) return Fault.ok({ instance, late: true as const });
    const value = factOf(announcement, instance, before, env.wallClockMs());
    if (announcement.leaving) {
      env.log(1202, { replica: key });
      yield* gossip.removeAndReplicate([key], value);
      return Fault.ok({ instance, gone: true as const });
    }
    if (!before) env.log(1201, { replica: key, pool: announcement.pool });
    const isWarmUpChanged = warmUpEndChanged(value, before);
    const isUnchanged = before && !isWarmUpChanged && equalsExceptTimes(value, before);
    if (isUnchanged && gossip.ageMs(key) < Constants.endpointRenewPeriodMs) return Fault.ok({ instance });
    gossip.publish(key, value, Constants.endpointLeaseMs, !before || isWarmUpChanged);
    return Fault.ok({ instance });
  },

  /**
   * Removes all instances of an endpoint; returns once another member has acknowledged the removal or after a time-out.
   */
  *withdraw(node: Node, id: string): Task<Result<true>> {
    const facts = node.gossip.live(`replica/${id}/`);
    const keys = facts.length > 0 ? facts.map((fact) => fact.key) : [keyOf(id, FIRST_INSTANCE)];
    if (facts.length > 0) node.env.log(1202, { replica: id });
    yield* node.gossip.removeAndReplicate(keys);
    return Fault.ok(true as const);
  },
};
