/**
 * Numbers of the log events of a consensus group. Their texts and the recommended operator actions are in
 * common/logEvents.ts.
 */
export const ConsensusEvent = {
  electedLeader: 1303,
  steppedDown: 1304,
  majorityLost: 1307,
  recoveredFromOneVoter: 1308,
  diskRecovered: 1312,
  committedEntryConflict: 1320,
  messageRejected: 1321,
  diskFailed: 1404,
} as const;

/** Fault points at which the simulator may kill or freeze the process. */
export const ConsensusFaultPoint = {
  termAndOwnVoteSaved: 31,
  elected: 32,
  commitIndexAdvanced: 33,
  voteDecided: 34,
  entriesStored: 35,
} as const;
