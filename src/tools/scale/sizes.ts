import * as os from "os";
import { Fault, Result } from "../../common/fault";

export type Bound = { name: string; min: number; max: number; reason: string };
const LIGHTWEIGHT_MEMBER_BYTES = 1_500_000; // one lightweight member without load, measured by `scale members`
const ENDPOINT_FACT_BYTES = 1_100; // one endpoint known to one member, measured by `scale replicas`

/**
 * Sizes as they are typed, checked against what is possible before anything starts.
 *
 * @example
 * const sizes = Sizes.read("30,60,120", { name: "members", least: 3, most: 2000, why: "one process holds no more" });
 */
export const Sizes = {
  /** @example Sizes.read("30,60", bound) */
  parse(text: unknown, bound: Bound): Result<number[]> {
    const refuse = (detail: string): Result<never> => Fault.fail("invalid", "read sizes", bound.name, detail);
    const sizes = String(text)
      .split(",")
      .map((part) => (part.trim() === "" ? NaN : Number(part)));
    for (const size of sizes) {
      if (!Number.isInteger(size)) return refuse(`${bound.name}: ${String(text)} is not whole numbers with commas`);
      if (size < bound.min) return refuse(`${bound.name}: ${size} is under the least, ${bound.min}`);
      if (size > bound.max) return refuse(`${bound.name}: ${size} is over the limit of ${bound.max}: ${bound.reason}`);
    }
    return Fault.ok(sizes);
  },
  /** Half of the machine's memory, which all lightweight members together may take. @example Sizes.memoryLimit() */
  memoryLimitBytes: (): number => os.totalmem() / 2,
  /** Memory that lightweight members will need, bytes. @example Sizes.needed(780, 10_000) */
  needed: (members: number, endpoints: number): number =>
    members * (LIGHTWEIGHT_MEMBER_BYTES + endpoints * ENDPOINT_FACT_BYTES),
  /** Refused when the members with so many replicas can't be held. @example Sizes.fits(780, 10_000).ok */
  checkMemory(members: number, endpoints: number, limit: number = os.totalmem() / 2): Result<true> {
    const needed = Sizes.needed(members, endpoints);
    if (needed <= limit) return Fault.ok(true as const);
    const gib = (bytes: number): string => (bytes / 2 ** 30).toFixed(1);
    const detail = `${members} members with ${endpoints} replicas need about ${gib(needed)} GiB, over the limit of ${gib(limit)} GiB, half of this machine's memory`;
    return Fault.fail("invalid", "read sizes", "members", detail);
  },
};
