/** A node: freezes, confirmation of the configuration, the feed from an agent to its ingress, shutdown. */
export const nodeConstants = {
  /** ms; a timer that is so late means that the process was frozen; its leases count as expired. */
  clockJumpMs: 1000,
  /** ms; a connection between members that was not used for so long is closed. */
  memberConnectionIdleMs: 30_000,
  /** ms; period of the clock watch. */
  clockCheckPeriodMs: 200,
  /** ms; pause between requests for a read index: about as often as a majority acknowledges the leader. */
  readIndexRetryMs: 150,
  /** ms; time-out of one such request, with the wait at the leader and the hops between. */
  readIndexTimeoutMs: 600,
  /** Times that a request is forwarded: from any member to a control member, from there to the leader. */
  readIndexMaxHops: 2,
  /** ms; two heartbeats: the leader waits so long for a contact that began after the request was sent. */
  readIndexWaitMaxMs: 300,
  /** ms; how often it checks. */
  readIndexCheckPeriodMs: 20,
  /** ms; the agent responds to its ingress by then, with or without a change. */
  feedWaitMaxMs: 400,
  /** ms; how often the agent checks for a newer snapshot. */
  feedCheckPeriodMs: 20,
  /**
   * ms; without contact to others (an ingress: to its agent) for so long, no new work is accepted; less than the two
   * seconds in which a configuration must be in force.
   */
  contactTimeoutMs: 1500,
  /** ms; time for work in flight after SIGTERM; a second less than the platform allows. */
  shutdownGraceMs: 6800,
} as const;
