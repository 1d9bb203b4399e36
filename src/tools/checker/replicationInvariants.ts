/** Invariants of replicated state: acknowledged puts are on disk, and the ledger has one order. */

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
          `shard ${shard}, view ${epoch}: ${member} holds ${stands.seq} of epoch ${stands.epoch}, acknowledged was ${acknowledged.seq} of ${acknowledged.epoch}`,
      )
      .slice(0, REPORTED_VIOLATIONS),
};

type LedgerReading = ObservationOf<"ledger">;

function parseStamp(text: string): Stamp {
  const stamp = Stamp.parse(text);
  if (!stamp) throw new Error(`no stamp: ${text}`);
  return stamp;
}
/** Entries of one reading that are earlier than the entry before them. */
const outOfOrder = ({ ingress, stamps }: LedgerReading): string[] =>
  stamps
    .filter((stamp, index) => index > 0 && Stamp.compare(parseStamp(stamps[index - 1]), parseStamp(stamp)) > 0)
    .map((stamp) => `ledger read at ${ingress} is out of order at ${stamp}`);
/** Whether two readings hold the same entries in the time that both cover. */
function agree(left: LedgerReading, right: LedgerReading): boolean {
  if (left.stamps.length === 0 || right.stamps.length === 0) return true;
  const readings = [left, right];
  const from = Math.max(...readings.map(({ stamps }) => parseStamp(stamps[0]).time));
  const to = Math.min(...readings.map(({ stamps }) => parseStamp(stamps[stamps.length - 1]).time));
  const covered = ({ stamps }: LedgerReading): string =>
    stamps.filter((stamp) => parseStamp(stamp).time > from && parseStamp(stamp).time < to).join(" ");
  return covered(left) === covered(right);
}

export const oneLedgerOrder: Invariant = {
  name: "one-ledger-order",
  requirement: "the ledger reads back in one agreed order from any node",
  check: (history) => {
    const readings = history.of("ledger");
    const disagreements = readings.flatMap((left) =>
      readings
        .filter((right) => right !== left && !agree(left, right))
        .map((right) => `ledger reads at ${left.ingress} and ${right.ingress} differ`),
    );
    return [...readings.flatMap(outOfOrder), ...disagreements].slice(0, REPORTED_VIOLATIONS);
  },
};
