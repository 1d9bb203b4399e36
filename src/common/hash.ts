import { NodeLibs } from "../runtime/nodeLibs";

/**
 * Hash functions for placement and digests.
 *
 * @example
 * const shard = Hash.number("lot-17") % Constants.shardCount;
 * const ordered = Hash.rendezvous("prefix", ["a", "b"]);
 */
export const Hash = {
  /** Hashes a string to 32 bits: FNV-1a with the finalizer of MurmurHash3. */
  number: (text: string): number => {
    let hash = 0x811c9dc5;
    for (let at = 0; at < text.length; at += 1) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x85ebca6b);
    hash ^= hash >>> 13;
    hash = Math.imul(hash, 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
  },
  /** Hashes a string to 24 hexadecimal digits, the beginning of its SHA-256 digest. */
  text: (text: string): string => NodeLibs.crypto().createHash("sha256").update(text).digest("hex").slice(0, 24),
  /** Orders names by rendezvous hashing, highest random weight first. */
  rendezvous: (key: string, names: string[]): string[] =>
    names
      .map((name) => ({ name, weight: Hash.number(`${key}|${name}`) }))
      .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
      .map((weighted) => weighted.name),
};
