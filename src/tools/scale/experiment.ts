import { Bound } from "./sizes";

export type Metric = {
  description: string;
  isDeterministic: boolean; // the same in every run of a seed: messages, bytes, entries; not so are processor time and memory
};
/** One cost measured at several sizes. */
export type Experiment = {
  description: string;
  unit: string; // what a size counts
  sizes: number[];
  bound: Bound;
  metrics: Record<string, Metric>;
  measure(size: number, seed: number): Promise<Record<string, number>>;
};
/** Real processor time of this process since an earlier reading, ms. @example const spent = Processor.since(Processor.now()); */
export const Processor = {
  now: (): NodeJS.CpuUsage => process.cpuUsage(),
  since: (before: NodeJS.CpuUsage): number => {
    const used = process.cpuUsage(before);
    return (used.user + used.system) / 1000;
  },
};
