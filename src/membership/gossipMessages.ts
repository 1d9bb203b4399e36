import { ConfigurationPatch } from "../controlState/configurationPatch";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { Member } from "./member";

/**
 * Messages of gossip. Facts and digests go out many times a second, so they keep the field names of the wire in memory
 * too; here stands what those mean.
 */

/** A fact with all that it consists of. It carries its age, so that passing it on never makes it younger. */
export interface FactMessage {
  readonly key: string;
  /** Id of the member that published this version. */
  readonly owner: string;
  /** Wall clock ms of its publication, but always above the version before; of two equal ones the greater owner wins. */
  readonly version: number;
  /** Whether this is a tombstone. */
  readonly gone: boolean;
  /** Version at which `whole` was published. */
  readonly base: number;
  /** The value at the base version. */
  readonly whole: unknown;
  /** Fields of the value that differ from those of `whole`. */
  readonly patch: Record<string, unknown>;
  /** For how long the fact counts after its publication, ms. */
  readonly grantMs: number;
  /** Time since its publication as far as the sender knows, ms. */
  readonly ageMs: number;
}

/** A newer version of a fact whose base version the receiver should have: only the patch goes along. */
export type FactRenewal = [
  key: string,
  owner: string,
  version: number,
  base: number,
  patch: Record<string, unknown>,
  ageMs: number,
];

/** New facts, and the index of the sender's control snapshot, so that the receiver can fetch a newer one. */
export interface Push {
  readonly facts: FactMessage[];
  readonly renewed: FactRenewal[];
  readonly frameIndex: number;
  /** Id of the control group that the snapshot comes from. */
  readonly group?: string;
}

/** What a member has of a fact; `gone` is 1 for a tombstone. */
export type FactVersion = [base: number, version: number, gone: number];

/** The state of one member in short. */
export interface Digest {
  /** Checksum over all facts. */
  readonly sum: number;
  /** Checksum over the members that are alive. */
  readonly memberSum: number;
  /** Facts that were not renewed for long, with the versions that the sender has. */
  readonly stale: Record<string, number>;
  readonly frameIndex: number;
  readonly group?: string;
}

/** The answer to a digest; checksums by bucket come only if the total differs. */
export interface DigestResponse {
  /** Newer versions of facts that the sender called stale. */
  readonly renewed: FactRenewal[];
  readonly frameIndex: number;
  readonly sums?: number[];
  readonly memberSums?: number[];
}

/** The versions that the sender has in the buckets whose checksums differ. */
export interface FactDiffRequest {
  readonly buckets: number[];
  readonly standing: Record<string, FactVersion>;
}

/** Facts that the asker lacks, and keys of those that it should send. */
export interface FactDiffResponse {
  readonly facts: FactMessage[];
  readonly want: string[];
}

/** Incarnation and state of a member, the latter as a rank that rises from alive (0) over suspect and dead to left. */
export type MemberVersion = [incarnation: number, rank: number];

/** The members that the sender knows in the buckets whose checksums differ. */
export interface MemberDiffRequest {
  readonly buckets: number[];
  readonly standing: Record<string, MemberVersion>;
}

/** Members that the asker lacks, and ids of those that it should send. */
export interface MemberDiffResponse {
  readonly updates: Member[];
  readonly want: string[];
}

/** The change from one version of the configuration to a later one, item by item. */
export interface ConfigurationStep {
  readonly from: number;
  readonly to: number;
  readonly patch: ConfigurationPatch;
}

/** What the asker has of the control snapshot. */
export interface SnapshotRequest {
  /** Index of its snapshot, 0 for none. */
  readonly have: number;
  /** Its control group; empty or left out for none. */
  readonly group?: string;
  /** Version of its configuration; -1 or left out for none. */
  readonly manifest?: number;
}

/**
 * A control snapshot. Its configuration, by far the largest part, is left out where the asker has the same version, and
 * replaced by steps where these are shorter.
 */
export type SnapshotResponse = Omit<ControlSnapshot, "manifest"> & {
  readonly manifest?: ControlSnapshot["manifest"];
  readonly steps?: ConfigurationStep[];
};

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Spreads facts. No faults of its own. Idempotent: a fact is applied by its version, the greater wins. */
    "news.push": RpcMethod<Push, true>;
    /** Compares two members' states. No faults of its own. Idempotent: it changes no facts. */
    "news.digest": RpcMethod<Digest, DigestResponse>;
    /** Finds facts that differ. No faults of its own. Idempotent: it only reads. */
    "news.differ": RpcMethod<FactDiffRequest, FactDiffResponse>;
    /** Finds members that differ. No faults of its own. Idempotent: it only reads. */
    "members.differ": RpcMethod<MemberDiffRequest, MemberDiffResponse>;
    /** Passes on members. No faults of its own. Idempotent: incarnation and state decide, the greater wins. */
    "members.told": RpcMethod<{ readonly updates: Member[] }, true>;
    /** Fetches a control snapshot, null if the asker's is as new. No faults of its own. Idempotent: it only reads. */
    "frame.fetch": RpcMethod<SnapshotRequest, SnapshotResponse | null>;
  }
}
