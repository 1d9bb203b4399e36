import * as v8 from "v8";
import * as vm from "vm";

export const Heap = {
  /** Collects garbage and returns the bytes of the heap that are still in use. */
  usedBytes(): number {
    v8.setFlagsFromString("--expose-gc");
    (vm.runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
  },
};
