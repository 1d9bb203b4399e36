import loglevel from "loglevel";
import { LogEvents } from "./logEvents";

/**
 * Writes numbered log events as lines to standard error.
 *
 * @example
 * const log = Logger.make("store-1", "info");
 * log(1001, { program: "store" });
 */
export const Logger = {
  make(name: string, level: loglevel.LogLevelDesc): (event: number, fields?: Record<string, unknown>) => void {
    const logger = loglevel.getLogger(name);
    logger.methodFactory =
      (methodName) =>
      (...parts: unknown[]) =>
        void process.stderr.write(`${new Date().toISOString()} ${methodName} ${parts.join(" ")}\n`);
    logger.setLevel(level, false);
    return (event, fields) => {
      const entry = LogEvents[event];
      const levelName = entry?.level ?? "error";
      logger[levelName](
        `PB${event} ${name} ${entry?.text ?? "event not in the catalogue"}${fields ? " " + JSON.stringify(fields) : ""}`,
      );
    };
  },
};
