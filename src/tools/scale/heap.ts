import * as v8 from "v8";
import * as vm from "vm";

/**
 * Bytes of the heap that are in use, after a collection.
 *
 * @example
 * const before = Heap.used();
 */
export const Heap = {
  usedBytes(): number {
    v8.setFlagsFromString("--expose-gc");
    (vm.runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
  },
};
