import { ConfigurationPatch } from "../controlState/configurationPatch";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { Member } from "./member";

/**
 * Messages of gossip. Facts and digests are sent many times a second, so they are not converted: the field names in
 * memory are those of the wire format.
 */

/** A complete fact. The message contains the age of the fact, so that forwarding never makes the fact younger. */
export interface FactMessage {
  readonly key: string;
  /** Id of the member that published this version. */
  readonly owner: string;
  /**
   * Wall clock of its publication, ms, but always greater than the previous version. Of two equal versions, the one
   * with the greater owner wins.
   */
  readonly version: number;
  /** Whether this is a tombstone. */
  readonly gone: boolean;
  /** Version at which `whole` was published. */
  readonly base: number;
  /** The value at the base version. */
  readonly whole: unknown;
  /** Fields of the value that differ from `whole`. */
  readonly patch: Record<string, unknown>;
  /** Lease of the fact, counted from its publication, ms. */
  readonly grantMs: number;
  /** Time since its publication by the sender's knowledge, ms. */
  readonly ageMs: number;
}

/** A newer version of a fact, sent as a patch only, because the receiver should know the base version. */
export type FactRenewal = [
  key: string,
  owner: string,
  version: number,
  base: number,
  patch: Record<string, unknown>,
  ageMs: number,
];

/** New facts, and the index of the sender's control snapshot, so that the receiver can fetch it if it is newer. */
export interface Push {
  readonly facts: FactMessage[];
  readonly renewed: FactRenewal[];
  readonly frameIndex: number;
  /** Id of the control group of the snapshot. */
  readonly group?: string;
}

/** Version of a fact as a member knows it; `gone` is 1 for a tombstone. */
export type FactVersion = [base: number, version: number, gone: number];

/** Summary of a member's state. */
export interface Digest {
  /** Checksum over all facts. */
  readonly sum: number;
  /** Checksum over the active members. */
  readonly memberSum: number;
  /** Keys of facts that are overdue for renewal, with the sender's versions. */
  readonly stale: Record<string, number>;
  readonly frameIndex: number;
  readonly group?: string;
}

/** Response to a digest; it contains checksums by bucket only if the total checksum differs. */
export interface DigestResponse {
  /** Newer versions of the facts that the digest lists as stale. */
  readonly renewed: FactRenewal[];
  readonly frameIndex: number;
  readonly sums?: number[];
  readonly memberSums?: number[];
}

/** The sender's versions of facts in the buckets whose checksums differ. */
export interface FactDiffRequest {
  readonly buckets: number[];
  readonly standing: Record<string, FactVersion>;
}

/** Facts that the requester lacks, and keys of those that it should send. */
export interface FactDiffResponse {
  readonly facts: FactMessage[];
  readonly want: string[];
}

/** Incarnation and state of a member; the state is a rank: alive (0), suspect, dead, left. */
export type MemberVersion = [incarnation: number, rank: number];

/** The sender's versions of members in the buckets whose checksums differ. */
export interface MemberDiffRequest {
  readonly buckets: number[];
  readonly standing: Record<string, MemberVersion>;
}

/** Members that the requester lacks, and ids of those that it should send. */
export interface MemberDiffResponse {
  readonly updates: Member[];
  readonly want: string[];
}

/** A change from one version of the configuration to a later one. */
export interface ConfigurationStep {
  readonly from: number;
  readonly to: number;
  readonly patch: ConfigurationPatch;
}

/** Asks for a control snapshot that is newer than the requester's. */
export interface SnapshotRequest {
  /** Index of the requester's snapshot; 0 for none. */
  readonly have: number;
  /** Id of the control group of that snapshot; empty or omitted for none. */
  readonly group?: string;
  /** Version of the requester's configuration; -1 or omitted for none. */
  readonly manifest?: number;
}

/**
 * A control snapshot. Its configuration, by far the largest part, is omitted if the requester has the same version, and
 * replaced by steps if these are shorter.
 */
export type SnapshotResponse = Omit<ControlSnapshot, "manifest"> & {
  readonly manifest?: ControlSnapshot["manifest"];
  readonly steps?: ConfigurationStep[];
};

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Spreads facts. Has no faults of its own. Idempotent: the greater version of a fact wins. */
    "news.push": RpcMethod<Push, true>;
    /** Compares the states of two members. Has no faults of its own. Idempotent: it changes no facts. */
    "news.digest": RpcMethod<Digest, DigestResponse>;
    /** Finds facts that differ. Has no faults of its own. Idempotent: it only reads. */
    "news.differ": RpcMethod<FactDiffRequest, FactDiffResponse>;
    /** Finds members that differ. Has no faults of its own. Idempotent: it only reads. */
    "members.differ": RpcMethod<MemberDiffRequest, MemberDiffResponse>;
    /** Sends member records. Has no faults of its own. Idempotent: the greater incarnation or rank wins. */
    "members.told": RpcMethod<{ readonly updates: Member[] }, true>;
    /** Fetches a newer control snapshot; null if there is none. Has no faults of its own. Idempotent: it only reads. */
    "frame.fetch": RpcMethod<SnapshotRequest, SnapshotResponse | null>;
  }
}
