import { Bound } from "./sizes";

export type Metric = {
  description: string;
  /** Whether every run with one seed measures the same value: messages, bytes and entries, but not processor time and memory. */
  isDeterministic: boolean;
};
/** One cost measured at several sizes. */
export type Experiment = {
  description: string;
  /** Singular name of what a size counts. */
  unit: string;
  sizes: number[];
  bound: Bound;
  metrics: Record<string, Metric>;
  measure(size: number, seed: number): Promise<Record<string, number>>;
};
/** Processor time that this process has used since an earlier reading, in milliseconds of user and system time. */
export const CpuTime = {
  now: (): NodeJS.CpuUsage => process.cpuUsage(),
  msSince: (before: NodeJS.CpuUsage): number => {
    const used = process.cpuUsage(before);
    return (used.user + used.system) / 1000;
  },
};
