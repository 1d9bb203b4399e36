/** Invariants of replicated state: acknowledged puts are on disk, and all nodes read the ledger in the same order. */

import { Stamp } from "../../common/stamp";
import { LogPosition, ObservationOf } from "../history";
import { Invariant, REPORTED_VIOLATIONS } from "./invariant";

const isBefore = (left: LogPosition, right: LogPosition): boolean =>
  left.epoch < right.epoch || (left.epoch === right.epoch && left.seq < right.seq);

export const acknowledgedOnEveryMember: Invariant = {
  name: "acknowledged-on-every-member",
  requirement: "An acknowledged put is on the synced disk of every member of the committed view",
  check: (history) =>
    history
      .of("onDisk")
      .filter(({ stands, acknowledged }) => isBefore(stands, acknowledged))
      .map(
        ({ shard, epoch, member, stands, acknowledged }) =>
          `shard ${shard}, view ${epoch}: the log of ${member} ends at ${stands.seq} of epoch ${stands.epoch}, but ${acknowledged.seq} of epoch ${acknowledged.epoch} had been acknowledged`,
      )
      .slice(0, REPORTED_VIOLATIONS),
};

type LedgerReading = ObservationOf<"ledger">;

function parseStamp(text: string): Stamp {
  const stamp = Stamp.parse(text);
  if (!stamp) throw new Error(`invalid stamp of a ledger entry: ${text}`);
  return stamp;
}
/** Returns a violation for each entry of a reading that is earlier than its predecessor. */
const outOfOrder = ({ ingress, stamps }: LedgerReading): string[] =>
  stamps
    .filter((stamp, index) => index > 0 && Stamp.compare(parseStamp(stamps[index - 1]), parseStamp(stamp)) > 0)
    .map((stamp) => `the ledger read at ${ingress} is out of order at ${stamp}`);
/** Returns whether two readings contain the same entries for the time that both cover. */
function agree(left: LedgerReading, right: LedgerReading): boolean {
  if (left.stamps.length === 0 || right.stamps.length === 0) return true;
  const readings = [left, right];
  const from = Math.max(...readings.map(({ stamps }) => parseStamp(stamps[0]).time));
  const to = Math.min(...readings.map(({ stamps }) => parseStamp(stamps[stamps.length - 1]).time));
  const coveredByBoth = ({ stamps }: LedgerReading): string =>
    stamps.filter((stamp) => parseStamp(stamp).time > from && parseStamp(stamp).time < to).join(" ");
  return coveredByBoth(left) === coveredByBoth(right);
}

export const oneLedgerOrder: Invariant = {
  name: "one-ledger-order",
  requirement: "the ledger reads back in one agreed order from any node",
  check: (history) => {
    const readings = history.of("ledger");
    const disagreements = readings.flatMap((left) =>
      readings
        .filter((right) => right !== left && !agree(left, right))
        .map((right) => `the ledger read at ${left.ingress} differs from that read at ${right.ingress}`),
    );
    return [...readings.flatMap(outOfOrder), ...disagreements].slice(0, REPORTED_VIOLATIONS);
  },
};
