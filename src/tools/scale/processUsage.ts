import * as fs from "fs";

export type ResourceUsage = { cpuMs: number; wakeUps: number; rss: number; descriptors: number };
const ticksPerSecond = 100; // of the kernel's clock in /proc, the same on every Linux that Node runs on

/**
 * What a process has used, as the kernel tells it.
 *
 * @example
 * const before = ProcessUse.read(child.pid!);
 */
export const ProcessUsage = {
  /** Undefined once the process is gone. @example ProcessUse.read(process.pid)?.rss */
  read(pid: number): ResourceUsage | undefined {
    try {
      const stat = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
      const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
      const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
      const number = (name: string): number => Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(status)?.[1] ?? NaN);
      return {
        cpuMs: ((Number(fields[11]) + Number(fields[12])) * 1000) / ticksPerSecond,
        wakeUps: number("voluntary_ctxt_switches"),
        rss: number("VmRSS") * 1024,
        descriptors: fs.readdirSync(`/proc/${pid}/fd`).length,
      };
    } catch {
      return undefined;
    }
  },
};
