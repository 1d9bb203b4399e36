import * as fs from "fs";

/** CPU time, voluntary context switches, resident memory in bytes and open file descriptors of a process. */
export type ResourceUsage = { cpuMs: number; wakeUps: number; rss: number; descriptors: number };
/** Unit of processor times in /proc: USER_HZ is 100 on every Linux that Node.js runs on. */
const TICKS_PER_SECOND = 100;

/**
 * Resource usage of a process as /proc reports it.
 *
 * @example
 * const before = ProcessUsage.read(child.pid!);
 */
export const ProcessUsage = {
  /** Returns undefined if the process has ended. */
  read(pid: number): ResourceUsage | undefined {
    try {
      const stat = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
      const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
      const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
      const number = (name: string): number => Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(status)?.[1] ?? NaN);
      return {
        cpuMs: ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_SECOND,
        wakeUps: number("voluntary_ctxt_switches"),
        rss: number("VmRSS") * 1024,
        descriptors: fs.readdirSync(`/proc/${pid}/fd`).length,
      };
    } catch {
      return undefined;
    }
  },
};
