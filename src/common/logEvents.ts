/** Catalogue of the numbered log events; `petrelbeam events` writes docs/events.md from it. */
export const LogEvents: Record<number, { level: "info" | "warn" | "error"; text: string; operatorAction: string }> = {
  1001: { level: "info", text: "process started", operatorAction: "none" },
  1002: {
    level: "info",
    text: "process is shutting down",
    operatorAction: "wait; it rejects new requests and finishes those in flight",
  },
  1003: { level: "info", text: "process stopped", operatorAction: "none" },
  1004: {
    level: "error",
    text: "task failed",
    operatorAction: "report it with the stack trace; the task was ended or restarted",
  },
  1005: {
    level: "warn",
    text: "process was frozen: a timer fired late",
    operatorAction: "check the machine; the process accepts no new requests until its state is current again",
  },
  1006: {
    level: "error",
    text: "data folder cannot be used",
    operatorAction: "read the reason; a folder of another node or cluster is never used",
  },
  1007: {
    level: "warn",
    text: "clock skew exceeds its bound",
    operatorAction: "repair the time synchronization; the node is unready until then",
  },
  1008: { level: "info", text: "clock skew is within its bound again", operatorAction: "none" },
  1009: {
    level: "warn",
    text: "process ended with requests that have no whole response",
    operatorAction:
      "none after the grace period; before it, report it: ageMs tells how long before the end each was read, hasBegun whether its response had begun",
  },
  1010: {
    level: "info",
    text: "signal ignored: the process is shutting down, or the signal has no effect",
    operatorAction: "none",
  },
  1101: { level: "info", text: "member joined", operatorAction: "none" },
  1102: {
    level: "warn",
    text: "member is suspected to have failed",
    operatorAction: "none yet; the member may refute the suspicion",
  },
  1103: { level: "warn", text: "member removed as dead", operatorAction: "check whether the machine is up" },
  1104: { level: "info", text: "member left", operatorAction: "none" },
  1105: {
    level: "warn",
    text: "malformed message or message of another cluster dropped",
    operatorAction: "look for a process with different settings at this address",
  },
  1201: { level: "info", text: "endpoint announced", operatorAction: "none" },
  1202: { level: "info", text: "endpoint withdrawn", operatorAction: "none" },
  1203: { level: "warn", text: "lease of an endpoint expired", operatorAction: "check whether the endpoint is up" },
  1204: { level: "warn", text: "endpoint ejected temporarily", operatorAction: "read the log of the endpoint" },
  1205: {
    level: "warn",
    text: "response of an endpoint was cut off",
    operatorAction:
      "read the log of the endpoint; cause is reset (connection failed), truncated (closed early) or timeout (silent)",
  },
  1206: {
    level: "warn",
    text: "response of an endpoint belongs to no request",
    operatorAction:
      "read the log of the endpoint; kind is otherRequest (it names another request) or idleConnection (none was in progress)",
  },
  1301: { level: "info", text: "control group bootstrapped", operatorAction: "none" },
  1302: {
    level: "warn",
    text: "bootstrap of the control group delayed",
    operatorAction: "read the reason; start the missing founders, or restore a data folder",
  },
  1303: { level: "info", text: "became control leader", operatorAction: "none" },
  1304: { level: "warn", text: "stepped down as control leader", operatorAction: "none, unless it repeats" },
  1305: { level: "info", text: "voters changed", operatorAction: "none" },
  1306: { level: "info", text: "change accepted", operatorAction: "none" },
  1307: {
    level: "warn",
    text: "control group has no majority",
    operatorAction: "restart the missing control machines; the configuration cannot change until then",
  },
  1308: {
    level: "warn",
    text: "control group recovered from one voter by order of an operator",
    operatorAction:
      "check what the lost voters may have acknowledged after the logged index; keep their machines out of use",
  },
  1309: {
    level: "warn",
    text: "control group continues with too few voters",
    operatorAction: "start the missing control machines; the group grows automatically",
  },
  1310: {
    level: "warn",
    text: "voters of the control group cannot write",
    operatorAction:
      "check machine and disk of those named in cannotWrite; canWrite - needed is the number of further losses that the group survives",
  },
  1311: { level: "info", text: "all voters of the control group can write again", operatorAction: "none" },
  1312: {
    level: "info",
    text: "disk of a control process is in use again",
    operatorAction: "none, unless it repeats: check the disk",
  },
  1320: {
    level: "error",
    text: "control log rejected entries that would replace committed ones",
    operatorAction:
      "keep the data folders of all control machines and report it; the sender may have lost synced writes",
  },
  1321: {
    level: "warn",
    text: "message of the control group dropped: damaged, out of order or from another group",
    operatorAction: "look for a control machine of another group or version among the seeds",
  },
  1401: { level: "info", text: "view installed", operatorAction: "none" },
  1402: {
    level: "warn",
    text: "shard has too few replicas",
    operatorAction: "restart the missing storage machines or add one",
  },
  1403: {
    level: "error",
    text: "shard is unavailable: no intact member of its last view",
    operatorAction: "restart one of the named storage nodes with its data folder",
  },
  1404: {
    level: "error",
    text: "disk failed; the replica on it is no longer used",
    operatorAction: "free or replace the disk; the replica is restored on another storage node",
  },
  1405: {
    level: "warn",
    text: "put got a new timestamp: the first was behind the frontier",
    operatorAction: "if frequent, increase Δ or ε",
  },
  1406: {
    level: "warn",
    text: "put took longer than Δ and delayed the frontier",
    operatorAction: "if frequent, increase Δ or check the disks",
  },
  1407: { level: "info", text: "state transfer to a replica completed", operatorAction: "none" },
  1408: {
    level: "warn",
    text: "replica differed from another replica and was repaired",
    operatorAction: "check the disk of the named storage node",
  },
  1409: {
    level: "warn",
    text: "incomplete record at the end of a log removed",
    operatorAction: "none; the record was never acknowledged",
  },
  1410: { level: "warn", text: "slot unreadable; the other slot is used", operatorAction: "check the disk" },
  1411: { level: "info", text: "leadership of a shard started", operatorAction: "none" },
  1412: { level: "warn", text: "leadership of a shard ended", operatorAction: "none, unless it repeats" },
  1413: {
    level: "warn",
    text: "segment damaged; fetched again from another replica",
    operatorAction: "check the disk of the named storage node",
  },
  1414: { level: "info", text: "disk is in use again", operatorAction: "none; the replica rejoins by a view change" },
  1415: {
    level: "info",
    text: "view changed; durations of its stages in ms",
    operatorAction:
      "none, unless a stage takes long: silentMs (failure detection), sealMs, levelMs (log sync), grantWaitMs (former lease), commitMs",
  },
  1501: { level: "info", text: "planned operation started", operatorAction: "none" },
  1502: { level: "info", text: "planned operation finished", operatorAction: "none" },
  1503: {
    level: "warn",
    text: "planned operation failed",
    operatorAction: "read the reason; write a new calendar entry",
  },
  1601: { level: "info", text: "newer control snapshot adopted", operatorAction: "none" },
  1602: {
    level: "warn",
    text: "cluster state is outdated; no new requests accepted",
    operatorAction: "check whether the agent is up",
  },
  1603: {
    level: "info",
    text: "configuration confirmed by the control leader since the start or the last freeze",
    operatorAction: "none; if it is missing, the machine reaches no control group with a majority",
  },
  1604: {
    level: "warn",
    text: "newer control snapshot could not be fetched",
    operatorAction: "none, unless behindMs grows: check the machine named in from, and the link to it",
  },
  1605: {
    level: "warn",
    text: "batch items wait: the control leader has not confirmed the configuration recently",
    operatorAction: "none, unless it lasts: check whether the control group has a leader that this machine reaches",
  },
  1701: {
    level: "info",
    text: "batch item abandoned",
    operatorAction: "read the reason; the caller receives the item as abandoned",
  },
};
