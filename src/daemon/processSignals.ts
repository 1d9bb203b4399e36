import { Chan, Csp } from "../runtime/csp";
import { Environment } from "../runtime/env";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Handles the signals to this process, from now to its end: the first SIGTERM or SIGINT closes the returned channel. Later ones
 * and SIGHUP are only logged; settings that may change are read when they are needed.
 */
export function watchSignals(log: Environment["log"]): Chan<never> {
  const stopRequested = Csp.closeSignal();
  const ignore = (signal: string): void => log(1010, { signal });
  for (const signal of STOP_SIGNALS)
    process.on(signal, () => (stopRequested.isClosed() ? ignore(signal) : stopRequested.close()));
  process.on("SIGHUP", () => ignore("SIGHUP"));
  return stopRequested;
}
