/**
 * Every number the system runs by, with its unit and the reason for its value.
 * Starting values and defaults are ours; docs/measurements.md says what was seen.
 *
 * @example
 * const listingDelay = Constants.bigDeltaMs + 2 * Constants.deltaMs + Constants.epsilonMs;
 */
export const Constants = {
  // --- the paper's three bounds (Birman et al. 2026, section 2.9) ---
  deltaMs: 25, // ms; δ, greatest clock skew we vouch for: NTP on one site stays well inside it
  epsilonMs: 50, // ms; ε, relay from first node to a shard member over TCP on one site
  bigDeltaMs: 250, // ms; Δ, put completion: three synced copies on small disks, with room for a slow sync

  // --- membership (SWIM) ---
  probePeriodMs: 400, // ms; one member probed a period: a dead one is found by somebody within about one
  probeTimeoutMs: 150, // ms; direct acknowledgement; three times ε so that a busy member is not asked around for
  indirectTimeoutMs: 250, // ms; second opinions through third parties
  ownLateMs: 100, // ms; a probe whose timers came so late says nothing of who was probed
  indirectProbes: 3, // members; third parties asked before suspicion
  suspicionMs: 1500, // ms; a suspect may refute; keeps detection under 2.5 s and takeover under 12 s
  deadKeepMs: 60_000, // ms; a dead or departed member is remembered so that old news can't raise it
  piggybackUpdates: 8, // updates a datagram; keeps a datagram under one 1500 byte frame... of loopback size
  piggybackAttempts: 6, // times an update is passed on by each node: about 2·log2 of 24 members
  clockSamples: 9, // samples; median of the last ones is the estimated skew
  youthMs: 4000, // ms; a member that has just started asks and compares more often: after a common start nobody knows anybody
  youthFactor: 0.25, // share; of the usual periods while so young
  memberBuckets: 16, // ranges of members; compared one by one only where the sum of all differs
  joinRetryMs: 500, // ms; seeds are asked again while nobody is known
  rejoinMs: 2000, // ms; and so often once somebody is, so that a healed cut is noticed

  // --- news ---
  gossipFlushMs: 250, // ms; not urgent news waits this long for company: four times a second, whatever comes
  configurationSteps: 64, // changes by item; kept for those who have the version before: a minute of them at 91,000 a day
  gossipBuckets: 64, // ranges of facts; compared one by one only where the sum of all differs
  gossipPartners: 24, // members; in a larger fleet one talks to these only, so that the connections of a node stay few
  staleShare: 0.45, // of a grant; a fact not renewed for so long, two announcements and the way of news, is asked after with each digest
  staleAsked: 200, // facts; asked after at once
  gossipFanout: 3, // members told at once
  digestTimeoutMs: 600, // ms; one request of an exchange of digests
  snapshotFetchMs: 1500, // ms; one fetch of a control snapshot, the largest message of gossip
  digestPeriodMs: 500, // ms; digests compared with one member; mends gaps well inside two seconds
  endpointLeaseMs: 4000, // ms; a replica not heard of for this long is not chosen
  endpointQuietMs: 2700, // ms; not heard of for two announcements and the way of news: others are chosen where there are any
  endpointRenewMs: 900, // ms; an unchanged announcement is passed on at most this often: under the usual pause between two
  tombstoneMs: 30_000, // ms; outlives every grant, so a goodbye is never undone by old news

  warmJitterMs: 250, // ms; an end of warming that moves by less, with delays on the way, is no news
  goodbyeToldMs: 300, // ms; a goodbye is acknowledged once another member has it, at the latest after this
  goodbyeHoldMs: 5000, // ms; a replica without instance names may come back this long after its goodbye

  // --- freezes ---
  clockJumpMs: 1000, // ms; a timer this late means the process was frozen; grants count as ended
  linkIdleMs: 30_000, // ms; a connection between members that was not used for so long is ended
  clockWatchMs: 200, // ms; how often the watch looks

  // --- configuration confirmed by the control lead, after a start or a thaw ---
  confirmRetryMs: 150, // ms; pause between requests for a read index: the lead's majority answers about as often
  confirmAskMs: 600, // ms; one such request, with the lead's wait and the ways between
  confirmHops: 2, // times; a request is passed on: from any member to a control member, from there to the lead
  readIndexWaitMs: 300, // ms; two heartbeats: the lead waits so long for contact that began after the asker's start
  readIndexTickMs: 20, // ms; how often it looks

  // --- control group ---
  electionTimeoutMinMs: 900, // ms; the shortest time without a leader before a vote is asked for
  preVoteRetryMinMs: 150, // ms; the shortest pause after a pre-vote without a majority: a pre-vote binds nobody
  restartElectionMs: 120, // ms; after a restart of all voters an election is due about so soon
  electionCheckMaxMs: 300, // ms; the longest pause between two checks of the election timer
  electionTimeoutSpreadMs: 700, // ms; random part of the election time-out, so that two servers seldom stand at once
  heartbeatMs: 150, // ms; period of the leader's AppendEntries requests
  controlLeaseMs: 800, // ms; lease of the control leader, counted from the sending of a request; below electionTimeoutMinMs
  leadershipTransferTimeoutMs: 300, // ms; a leader that stops waits so long for a successor with the whole log, and for its response
  appendEntriesMaxBytes: 131_072, // bytes; of the entries in one request, and of a chunk of a longer payload: 52 ms at 20 Mbit/s
  payloadChunkMinBytes: 8192, // bytes; chunks shrink down to this while they are not acknowledged in time
  appendEntriesTimeoutMs: 600, // ms; a request or a chunk not acknowledged by then is sent again
  payloadChunkAttempts: 20, // failures in a row; then the payload is made anew from the follower's progress
  packedPayloadMaxBytes: 67_108_864, // bytes; of a packed payload (snapshot or entry) that a follower accepts
  unpackedPayloadMaxBytes: 268_435_456, // bytes; the same unpacked
  rejectionLogPeriodMs: 5000, // ms; a reason for which messages of the group are rejected is logged at most this often
  logEntriesUntilSnapshot: 400, // entries; the log is compacted into a snapshot past this length
  logBytesUntilSnapshot: 4_194_304, // bytes; or past this size, so that a start reads no more than two such logs
  trailingLogEntries: 500, // entries; stay in memory before a snapshot, for followers a little behind or still receiving the snapshot before
  trailingLogBytes: 4_194_304, // bytes; of those, at most
  proposeTimeoutMs: 1800, // ms; an operator waits this long before fate is called unknown
  storeDiscoveryAfterElectionMs: 4000, // ms; a leader that was just elected may not have discovered every storage node for this long
  voterDeadMs: 200, // ms; a voter that is found dead is replaced this much later: inside the time that a loss counts, and before the next may come
  voterLeftMs: 1500, // ms; a voter that left in order is replaced this much later: most restart on the same disk before
  voterUnknownMs: 2000, // ms; a voter that a leader has not discovered for so long since its own start counts as lost: after a power loss of all nobody remembers who is missing
  voterUnknownLeaderMs: 400, // ms; and so long since it became the leader
  leaderTaskPeriodMs: 150, // ms; how often the leader checks its voters, and a follower whether it has become the leader
  recoveryIndexGap: 1_000_000, // indexes and terms; a recovered group begins so far above its voter's log, past all that the lost voters may have had
  recoveryEpochGap: 1_000_000, // epochs; the same for shard views
  losses: 1, // machines; lost at once, where settings don't say: three voters, so that a cut in two of four leaves two of three on one side
  groupGrowMs: 4000, // ms; a group that was bootstrapped with too few voters takes no first change for so long
  bootstrapRetryMs: 300, // ms; pause between attempts to bootstrap the consensus group
  endedEntriesRetained: 1000, // ended calendar entries that the state retains; the ledger has the older ones
  orderRetryMs: 5000, // ms; a drain, undrain or retirement may be retried for so long after its first attempt: ack_timeout_ms and one response
  leaderClockMaxAgeMs: 60_000, // ms; a reading of the leader's clock is used for so long: clocks drift by less than 10 ms in it
  callerGoneLookMs: 5, // ms; an order that carries no version waits so long for the news that its caller has gone
  controlAskMs: 2200, // ms; one control node is waited for so long, before the next is called
  acceptedChangesRetained: 10_000, // accepted changes remembered for each document; 26 bytes each in a snapshot; a retry of an older one gets no definite outcome
  changeDigestLength: 15, // hexadecimal digits of a change id's hash that are stored
  changeOutcomesRetained: 2000, // outcomes of changes remembered by change id
  standbyMaxLag: 20, // entries; a standby this close may become a voter

  // --- shards ---
  shardCount: 8, // shards; twice the store machines, so that a lost one spreads its work
  replicas: 3, // copies; two stores may be lost at once
  minReplicasForJobs: 2, // copies; below this new lots get busy
  shardLeaseMs: 800, // ms; the lead's grant from every other member of its view; a lost lead's must be waited for
  shardLeaseMarginMs: 100, // ms; the lead stops this much before the grant's end
  leaseRenewMs: 150, // ms; idle renewal, also carries the frontier to the copies; where puts go, they renew
  memberSilentMs: 400, // ms; a member that has not synced for this long is left out by a new view while its lead lives: some 10 of the longest stalls seen
  leaderSilentMs: 500, // ms; three lease renewals missed, by the control leader and every other member: a new view need not wait for suspicion
  replicateTimeoutMs: 300, // ms; a member that does not sync by then counts as silent since it was asked
  sealTimeoutMs: 700, // ms; a member that has not responded to a seal by then is left out of the next view
  levelTimeoutMs: 1500, // ms; a node that does not hold the sealed end by then is left out of the next view; a missing tail takes a few ms
  statusPeriodMs: 400, // ms; the leader polls every storage node this often; at once when one requests a check
  statusFreshMs: 1800, // ms; a storage node whose status is older counts as down
  statusWaitMs: 100, // ms; a poll of the storage nodes waits so long for the slowest
  statusPollGapMs: 60, // ms; shortest pause between two polls, so that requested checks share one
  claimOldMs: 1000, // ms; a claim that waited longer for its delivery is given back: by now the duty may be another's
  storeDiscoveryMs: 2500, // ms; the first views wait this long for storage nodes to be discovered
  shardLogKeep: 500, // entries; log is folded into a slot past this length
  shardLogBytes: 4_194_304, // bytes; or past this size, so that a start reads no more than two such logs
  putBatch: 256, // puts; ordered and synced together
  shardBufferPuts: 2048, // puts; waiting for order; past this, busy
  rangeBuckets: 16, // ranges; compared by digest
  diskReserveBytes: 67_108_864, // bytes; below this free, nothing new is accepted; what was accepted can finish
  diskRetrySeconds: 3, // s; a failed disk is tried again this often, well inside the twelve seconds after it was freed
  fillEntries: 200, // entries; in one catch-up message
  repairPeriodMs: 10_000, // ms; copies of a shard are compared
  segmentObjects: { works: 256, lots: 64, ledger: 1024 }, // objects; in one segment: a few hundred KB, so that writing one takes a few ms
  simSegmentObjects: { works: 5, lots: 1, ledger: 48 }, // objects; the same in the simulator, so that half a minute of work seals, fills and reads segments
  segmentBitsPerSubject: 12, // bits; of a ledger segment's filter: about one false hit in two hundred
  putIdKeepMs: 30_000, // ms; past the stamp or deadline of a put; nobody asks again under its id for longer than 20 s
  refusalKeepMs: 700_000, // ms; a refusal outlives the longest deadline, and with it every late open of its request
  fillCallTimeoutMs: 6000, // ms; the leader calls a replica that is copying state again after this long
  aboutEntriesMax: 2000, // entries; sealed ones told about one subject of a shard
  fillPieceBytes: 1_048_576, // bytes; of a segment in one message
  fillBytesPerSecond: 16_777_216, // bytes a second; a copy being filled takes no more from its source, so that live traffic keeps the disk
  lateAttempts: 8, // rounds; a late put is stamped anew at most this often

  // --- callers ---
  bodyLimitBytes: 1_048_576, // bytes; a caller's or operator's body, except a manifest
  bodyDrainBytes: 1_048_576, // bytes; of a body over its limit that are still read, so that its sender sees the refusal
  headerLimitBytes: 16_384, // bytes; a request's headers, where the configuration says nothing
  headerLimitMaxBytes: 1_048_576, // bytes; the parser gives up here, whatever the configuration says
  headerLimitMs: 10_000, // ms; a request's header is whole by then, where the configuration says nothing
  callerIdleMs: 30_000, // ms; a caller's connection may rest so long, where the configuration says nothing
  idleMarginMs: 1000, // ms; it is closed so much later, so that no request is on its way then
  connectionCheckMs: 500, // ms; slow headers are looked for this often
  refusedLingerMs: 300, // ms; a connection whose framing was wrong stays open so long, so that its caller sees why
  configurationLimitBytes: 8_388_608, // bytes; thousands of bindings
  responseLimitBytes: 4_194_304, // bytes; a replica that replies more than this has failed
  deflateBytes: 1024, // bytes; a longer body between processes is deflated: links between districts are dearer than the work
  deflateSearchBytes: 16_384, // bytes; in a longer body no repeats are looked for
  deflateShare: 0.9, // share; of its length that a deflated body must stay under
  frameLimitBytes: 33_554_432, // bytes; one frame between processes
  controlRetryMs: 120, // ms; pause before another control node is called
  changeWaitMs: 6000, // ms; an operator's change is followed through a change of lead this long
  deadlineMaxMs: 600_000, // ms; a binding's deadline, at most: refusals are remembered for longer
  requestDeadlineMs: 10_000, // ms; when neither caller nor binding says
  lookupAttempts: 3, // rounds; a safe lookup is tried on this many replicas
  liveBuffer: 64, // requests; waiting for room at one ingress, per class
  resumeWaitMs: 5000, // ms; a stream that lost its replica after some pieces waits this long for another
  roomTurnMs: 50, // ms; the foremost that waits looks again this often, for what only the time brings
  liveWaitMs: 400, // ms; a request that would wait longer is refused at once
  retryAfterMs: 1000, // ms; least time told with busy
  streamPatienceMs: 15_000, // ms; a relay goes on through a takeover of its shard
  feedWaitMs: 400, // ms; agent answers its ingress by then, changed or not
  feedTickMs: 20, // ms; how often it looks for a newer frame
  frameStaleMs: 1500, // ms; without word from the others (an ingress: from its agent) new work is held; under the two seconds in which a configuration must be in force
  readWaitMs: 2500, // ms; a read past the frontier waits at most this long
  storeAttemptMs: 100, // ms; between rounds while a shard's lead is being found
  leaderChangedMs: 60, // ms; an ask that waits for its reply looks so often whether another leads by now
  jobPatienceMs: 5000, // ms; a lot whose acceptance is not known by then: its caller may ask again by the same id, elsewhere
  openPatienceMs: 1500, // ms; a shard's lead that cannot be reached is looked for this long, then busy is said
  requestTableSlots: 4096, // continuations; requests at once in one process

  // --- work ---
  slowStartMs: 6000, // ms; a new replica comes up to its full share over this time
  slowStartPerSecond: 4, // starts a second for each slot, times the share, from all choosers together
  slowStartFloor: 0.15, // share; what a replica gets at the start
  coldMarginMs: 400, // ms; a replica is taken for cold this much longer than it said: its word is as old as its way
  coldIntervalMs: 120, // ms; one sender's works for a cold replica are this far apart at least
  sendersSettleMs: 3000, // ms; after its start a sender doesn't know how many share a budget
  connectionShare: 0.85, // share; of a replica's connections that all senders together count on
  headMs: 700, // ms; a repeatable request's replica that shows nothing by then, or by twice the aim, is given up for another
  silentPieceMs: 1200, // ms; a stream that can go on elsewhere does so after this silence
  connectMs: 350, // ms; a replica on the same site takes a connection well inside this
  idleConnectionMs: 8000, // ms; a connection to a replica is kept unused this long, or half of what the replica says
  refuseShare: 0.22, // share; of its aim that a request may wait for room: refused later it earns nothing more
  comeBackMs: 350, // ms; told with a refusal for want of room: about one reply's time
  comeBackUnreadyMs: 1100, // ms; told by an ingress that has nothing in force yet: about the time in which a fleet is up again
  stopListenMs: 3000, // ms; after SIGTERM callers are still sent here until they have seen that we are unready
  promptTokensPerMs: 100, // tokens; read in a ms by a replica: a guess that only sorts prompts into long and short
  promptPartsMax: 64, // parts; of one prompt that are looked at
  longPromptShare: 0.25, // share; of the pause that others bear, past which reading a prompt alone makes it long
  longPromptFadeMs: 8000, // ms; over which the rate of long prompts fades
  longPromptBusyShare: 0.1, // share; of its time that a replica of the long prompts' own may read them
  longPromptEndpointsMin: 4, // replicas; smaller pools are not parted
  warmUpRequests: 160, // requests; an ingress passes to itself before it says that it is ready, so that callers meet warm code
  warmUpMs: 1500, // ms; at most
  boundedLoad: 1.25, // factor; prefix affinity gives way above this multiple of mean load
  ejectFailures: 3, // failures in a row; then the replica is left alone
  ejectMs: 3000, // ms; left alone this long, then tried with one request
  memberConnectMs: 200, // ms; a connection between members: past it, it is tried anew rather than left to a late repetition
  connectTimeoutMs: 1000, // ms; a replica that does not take a connection
  firstPieceMs: 3000, // ms; a replica that accepts and stays silent has gone dark
  pieceGapMs: 3000, // ms; the same between pieces
  jobWindowMax: 8, // items; in flight per store and pool, at most
  jobWindowMin: 1, // items; in flight per store while live work crowds
  orphanPeriodMs: 2500, // ms; leads look for claims that nobody runs
  jobTickMs: 40, // ms; the dispatcher looks for room
  jobOverloadHoldMs: 600, // ms; after a sign of crowding the window stays small
  jobShare: 0.7, // share; of a pool's slots that items of lots may hold, over all stores; live work takes their place at a replica
  jobAffinityTokens: 2000, // tokens; a shared first part shorter than this is read faster than its replica's queue shortens
  jobDemandItems: 16, // items; a store that runs fewer takes so little of the room that it need not tell the others
  jobDemandMs: 300, // ms; a changed demand is told this often
  jobDemandLeaseMs: 900, // ms; and believed for so long
  jobOverloadedShare: 0.25, // share; of that, while live work has to wait somewhere and no lot is nearly due
  jobUrgentMs: 4000, // ms; a lot due so soon is not held back by a crowd: it is worth as much as what crowds
  jobResultsMs: 30, // ms; results that come within it share one put
  jobHeadMs: 2500, // ms; an item's replica that shows nothing by then is given up; below the time in which an ended lot must be still
  jobAgainMs: 60, // ms; before an item that did not run is tried elsewhere
  jobFailedMs: 250, // ms; the same after a reply that was a failure
  jobBodiesKeepMs: 10_000, // ms; a closed lot's bodies are still given to whoever has not heard of its last results
  jobGiveUpMarginMs: 1000, // ms; an item is given up so much later than it may be: clocks differ
  jobListLagMs: 500, // ms; a copy whose frontier is behind by so much more than it must be leaves the listing to another
  jobNearShare: 0.6, // share; of its district's slots that a store's items fill before they go farther
  jobListBytes: 700_000, // bytes; of results in one listing, so that it stays under 1 MB as JSON
  jobRegainMs: 3000, // ms; items run on so long after their lead lost its duty: it mostly has it back within a few ms
  jobHoldMs: 3000, // ms; a lot waits so long for its shard's lead to be found: past a takeover
  jobAttemptMs: 1500, // ms; one ask to take a lot in: past a put that waits for a member to be left out
  jobReadMs: 2000, // ms; a listing is looked for so long at all members, beyond what its caller would wait
  jobReadAttemptMs: 250, // ms; the same at one member
  jobRefuseMs: 900, // ms; to make sure that a lot given up on is never kept
  quotaAskMs: 250, // ms; a lead that has not told its tally by then is counted as another copy knows it
  quotaFreshMs: 60, // ms; tallies so young are not asked for again before a lot is refused
  quotaLeasesKept: 512, // grants; remembered until their lots are in the tallies told
  reservedShare: 0.34, // share; of a pool's slots that lots never take
  jobItemsMax: 2000, // items; in one lot
  ledgerFlushMs: 250, // ms; decisions of lookups are put in batches
  ledgerBatch: 500, // entries; waiting for that; beyond it the oldest are counted as lost

  // --- moves ---
  calendarPeriodMs: 250, // ms; how often the leader checks the calendar for due entries
  drainSettleMs: 1500, // ms; a drained zone is checked again after this long
  stopGraceMs: 6800, // ms; after SIGTERM, work in flight may take this long; a second before the platform's hard stop

  // --- metrics ---
  spreadKept: 1000, // values; of one measured time, for its spread
} as const;
