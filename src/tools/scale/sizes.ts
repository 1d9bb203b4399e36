import * as os from "os";
import { Fault, Result } from "../../common/fault";

/** The range that a size on the command line may have, and the reason for its maximum. */
export type Bound = { name: string; min: number; max: number; reason: string };
/** Memory of one lightweight member without load, as measured by `scale members`. */
const LIGHTWEIGHT_MEMBER_BYTES = 1_500_000;
/** Memory that one member needs for one endpoint that it knows, as measured by `scale replicas`. */
const ENDPOINT_FACT_BYTES = 1_100;

/**
 * Checks the sizes of a measurement before it starts anything.
 *
 * @example
 * const sizes = Sizes.parse("30,60,120", { name: "members", min: 3, max: 2000, reason: "one process holds no more" });
 */
export const Sizes = {
  /** Parses whole numbers separated by commas, each within the bound. */
  parse(text: unknown, bound: Bound): Result<number[]> {
    const reject = (detail: string): Result<never> => Fault.fail("invalid", "read sizes", bound.name, detail);
    const sizes = String(text)
      .split(",")
      .map((part) => (part.trim() === "" ? NaN : Number(part)));
    for (const size of sizes) {
      if (!Number.isInteger(size)) return reject(`${bound.name}: ${String(text)} is not whole numbers with commas`);
      if (size < bound.min) return reject(`${bound.name}: ${size} is under the least, ${bound.min}`);
      if (size > bound.max) return reject(`${bound.name}: ${size} is over the limit of ${bound.max}: ${bound.reason}`);
    }
    return Fault.ok(sizes);
  },
  /** Memory that all lightweight members together may take: half of the machine's. */
  memoryLimitBytes: (): number => os.totalmem() / 2,
  /** Memory that lightweight members need when each knows all endpoints. */
  requiredBytes: (members: number, endpoints: number): number =>
    members * (LIGHTWEIGHT_MEMBER_BYTES + endpoints * ENDPOINT_FACT_BYTES),
  /** Fails if the members need more memory than the limit. */
  checkMemory(members: number, endpoints: number, limitBytes: number = os.totalmem() / 2): Result<true> {
    const requiredBytes = Sizes.requiredBytes(members, endpoints);
    if (requiredBytes <= limitBytes) return Fault.ok(true as const);
    const gib = (bytes: number): string => (bytes / 2 ** 30).toFixed(1);
    const detail = `${members} members with ${endpoints} replicas need about ${gib(requiredBytes)} GiB, over the limit of ${gib(limitBytes)} GiB, half of this machine's memory`;
    return Fault.fail("invalid", "read sizes", "members", detail);
  },
};
