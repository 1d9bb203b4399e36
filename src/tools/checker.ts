import { Stamp } from "../common/stamp";
import { History, Observation } from "./history";

export type ObservedRun = { id: string; attempt: number; at: number; kind: "stream" | "single"; continued: number };
export type ObservedEndpoint = { settings: { id: string; district: string }; runs: ObservedRun[] };
export type Violation = { invariant: string; detail: string };
/** Bounds of the brief, and what "about" is taken to mean. */
const bounds = {
  readableMs: 1000,
  readableSlackMs: 500,
  endedMs: 3000,
  goodbyeMs: 2000,
  drainMs: 5000,
  inForceMs: 2000,
  slackMs: 200,
  recoveryMs: 12_000,
  restoredMs: 4000, // a process that comes back, or a cut that heals, may itself move shards
  quietGapMs: { lookup: 2500, stream: 3000, lot: 5000 },
  firstSecondShare: 1, // a replica just started gets no more than its capacity within its first second
} as const;
export type CheckOptions = {
  /** Nothing but planned moves happened: then nobody may be left without a reply. */
  plannedOnly?: boolean;
  /** Fleet start-up: replicas started before this are not judged as "just started". */
  settledAt?: number;
  /** Nodes that the campaign itself cut off or froze, by time: bounds in seconds hold for nodes that can be reached. */
  unreachable?: (node: string, from: number, to: number) => boolean;
};

type Rule = {
  name: string;
  sentence: string;
  check: (history: History, endpoints: ObservedEndpoint[], options: CheckOptions) => string[];
};
const unsafe = (id: string): boolean => id.includes("/") || id.startsWith("key-");
const allRuns = (endpoints: ObservedEndpoint[]): (ObservedRun & { replica: string; district: string })[] =>
  endpoints.flatMap((endpoint) =>
    endpoint.runs.map((run) => ({ ...run, replica: endpoint.settings.id, district: endpoint.settings.district })),
  );

const rules: Rule[] = [
  {
    name: "right-caller",
    sentence: "no answer reaches the wrong caller",
    check: (history) => [
      ...history
        .of("lookup")
        .filter((seen) => !seen.mine)
        .map((seen) => `lookup at ${seen.ingress} got another's reply`),
      ...history
        .of("single")
        .filter((seen) => !seen.mine)
        .map((seen) => `single ${seen.key} got another's reply`),
      ...history
        .of("lotResult")
        .filter((seen) => !seen.mine)
        .map((seen) => `lot ${seen.lot} item ${seen.item} holds another's result`),
    ],
  },
  {
    name: "no-false-success",
    sentence: "No success is shown for work that was not run",
    check: (history, endpoints) => {
      if (endpoints.length === 0) return [];
      const ran = new Set(allRuns(endpoints).map((run) => run.id));
      return [
        ...history
          .of("lotResult")
          .filter((seen) => seen.state === "done" && !ran.has(`${seen.lot}/${seen.item}`))
          .map((seen) => `item ${seen.lot}/${seen.item} is done but never ran`),
        ...history
          .of("single")
          .filter((seen) => !ran.has(seen.requestId))
          .map((seen) => `request ${seen.requestId} succeeded but never ran`),
      ];
    },
  },
  {
    name: "never-twice",
    sentence: "A request that is not safe to repeat never runs twice",
    check: (_history, endpoints) => {
      const counts = new Map<string, string[]>();
      for (const run of allRuns(endpoints))
        if (unsafe(run.id))
          counts.set(run.id, [
            ...(counts.get(run.id) ?? []),
            `${run.replica} round ${run.attempt} at ${run.at.toFixed(0)}`,
          ]);
      return [...counts]
        .filter(([, runs]) => runs.length > 1)
        .map(([id, runs]) => `${id} ran ${runs.length} times: ${runs.join("; ")}`);
    },
  },
  {
    name: "busy-never-ran",
    sentence: '"Busy, try later" always means the work never ran and never will',
    check: (history, endpoints) => {
      const ran = new Set(allRuns(endpoints).map((run) => run.id));
      return [
        ...history
          .of("busy")
          .filter((seen) => seen.requestId.startsWith("req-") && ran.has(seen.requestId))
          .map((seen) => `${seen.requestId} was told busy and ran`),
        ...history
          .of("busy")
          .filter((seen) => !seen.retryAfter)
          .map((seen) => `busy at ${seen.at} without when to come back`),
      ];
    },
  },
  {
    name: "stream-exact",
    sentence: "A stream never skips or repeats a piece. A resumed stream continues exactly",
    check: (history) => [
      ...history
        .of("streamPiece")
        .filter((seen) => !seen.right)
        .map((seen) => `stream ${seen.stream}: piece ${seen.n} is out of place or wrong`),
      ...history
        .of("streamEnd")
        .filter((seen) => seen.pieces !== seen.wanted)
        .map((seen) => `stream ${seen.stream} ended with ${seen.pieces} of ${seen.wanted} pieces`),
    ],
  },
  {
    name: "lot-kept",
    sentence: "An accepted lot is kept; its results never vanish",
    check: (history) => [
      ...history.of("lotLost").map((seen) => `lot ${seen.lot}: ${seen.detail}`),
      ...history
        .of("lotReread")
        .filter((seen) => !seen.complete)
        .map((seen) => `lot ${seen.lot} could not be read whole at ${seen.ingress}`),
    ],
  },
  {
    name: "acknowledged-on-every-member",
    sentence: "An acknowledged put is on the synced disk of every member of the committed view",
    check: (history) =>
      history
        .of("onDisk")
        .filter(
          ({ stands, acknowledged }) =>
            stands.epoch < acknowledged.epoch || (stands.epoch === acknowledged.epoch && stands.seq < acknowledged.seq),
        )
        .map(
          (seen) =>
            `shard ${seen.shard}, view ${seen.epoch}: ${seen.member} holds ${seen.stands.seq} of epoch ${seen.stands.epoch}, acknowledged was ${seen.acknowledged.seq} of ${seen.acknowledged.epoch}`,
        )
        .slice(0, 5),
  },
  {
    name: "lot-readable",
    sentence: "Within about a second its results can be read at every node",
    check: (history, _replicas, options) => {
      const faults = history.of("fault");
      return history
        .of("lotReadable")
        .filter((seen) => seen.afterMs > bounds.readableMs + bounds.readableSlackMs)
        .filter(
          (seen) =>
            !faults.some((fault) => fault.at <= seen.at && seen.at - seen.afterMs <= fault.at + bounds.recoveryMs),
        )
        .filter((seen) => !options.unreachable?.(seen.ingress, seen.at - seen.afterMs, seen.at))
        .map(
          (seen) =>
            `a result of lot ${seen.lot} was readable at ${seen.ingress} only after ${seen.afterMs.toFixed(0)} ms`,
        );
    },
  },
  {
    name: "one-position",
    sentence: "Each result holds one position in its lot, and that position never changes",
    check: (history) => {
      const found: string[] = [];
      const at = new Map<string, number>();
      const of = new Map<string, number>();
      const put = (job: string, position: number, item: number): void => {
        const known = at.get(`${job}#${position}`);
        if (known !== undefined && known !== item)
          found.push(`lot ${job} position ${position} held item ${known} and then ${item}`);
        const place = of.get(`${job}/${item}`);
        if (place !== undefined && place !== position)
          found.push(`item ${job}/${item} stood at ${place} and then at ${position}`);
        at.set(`${job}#${position}`, item);
        of.set(`${job}/${item}`, position);
      };
      for (const seen of history.observations) {
        if (seen.tag === "lotResult") put(seen.lot, seen.position, seen.item);
        if (seen.tag === "lotReread" && seen.order !== "")
          seen.order.split(",").forEach((item, index) => put(seen.lot, index + 1, +item));
      }
      return found;
    },
  },
  {
    name: "ended-stops",
    sentence: "Once a lot is ended, none of its items starts after about three seconds",
    check: (history, endpoints) => {
      const ended = new Map(history.of("lotEnded").map((seen) => [seen.lot, seen.at]));
      return allRuns(endpoints)
        .filter(
          (run) =>
            run.id.includes("/") &&
            run.at >
              (ended.get(run.id.slice(0, run.id.lastIndexOf("/"))) ?? Infinity) + bounds.endedMs + bounds.slackMs,
        )
        .map(
          (run) =>
            `item ${run.id} started ${(run.at - ended.get(run.id.slice(0, run.id.lastIndexOf("/")))!).toFixed(0)} ms after its lot was ended`,
        );
    },
  },
  {
    name: "goodbye-respected",
    sentence: "A replica that has said goodbye gets no new work after about two seconds",
    check: (history, endpoints) => {
      const gone = new Map(history.of("goodbye").map((seen) => [seen.replica, seen.at]));
      const back = new Map(history.of("replicaStarted").map((seen) => [seen.replica, seen.at]));
      return allRuns(endpoints)
        .filter(
          (run) =>
            run.at > (gone.get(run.replica) ?? Infinity) + bounds.goodbyeMs + bounds.slackMs &&
            !((back.get(run.replica) ?? -1) > gone.get(run.replica)! && run.at >= back.get(run.replica)!),
        )
        .map(
          (run) =>
            `replica ${run.replica} got ${run.id} ${(run.at - gone.get(run.replica)!).toFixed(0)} ms after its goodbye`,
        );
    },
  },
  {
    name: "drain-respected",
    sentence: "A drained zone gets none after about five",
    check: (history, endpoints) => {
      const found: string[] = [];
      for (const drained of history.of("drained")) {
        const until =
          history.of("undrained").find((seen) => seen.district === drained.district && seen.at > drained.at)?.at ??
          Infinity;
        for (const run of allRuns(endpoints))
          if (
            run.district === drained.district &&
            run.at > drained.at + bounds.drainMs + bounds.slackMs &&
            run.at < until
          )
            found.push(
              `replica ${run.replica} in drained ${run.district} got ${run.id} after ${(run.at - drained.at).toFixed(0)} ms`,
            );
      }
      return found;
    },
  },
  {
    name: "config-in-force",
    sentence: "An acknowledged configuration is in force within about two seconds",
    check: (history, _replicas, options) => {
      const found: string[] = [];
      for (const change of history.of("change").filter((seen) => seen.outcome === "acknowledged"))
        for (const seen of history.of("inForce"))
          if (
            seen.at > change.at + bounds.inForceMs + bounds.slackMs &&
            seen.version < change.version &&
            !options.unreachable?.(seen.node, change.at, seen.at)
          )
            found.push(
              `version ${change.version} was not in force at ${seen.node} ${(seen.at - change.at).toFixed(0)} ms after its acknowledgement (${seen.version} was)`,
            );
      return found.slice(0, 5);
    },
  },
  {
    name: "config-never-back",
    sentence: "never slides back",
    check: (history) => {
      const latest = new Map<string, number>();
      const found: string[] = [];
      for (const seen of history.of("inForce")) {
        if (seen.version < (latest.get(seen.node) ?? 0))
          found.push(`${seen.node} went from version ${latest.get(seen.node)} back to ${seen.version}`);
        latest.set(seen.node, Math.max(seen.version, latest.get(seen.node) ?? 0));
      }
      return found;
    },
  },
  {
    name: "config-at-day-end",
    sentence: "is what we read at day's end",
    check: (history) => {
      const acknowledged = history.of("change").filter((seen) => seen.outcome === "acknowledged");
      const last = acknowledged.reduce(
        (best: Extract<Observation, { tag: "change" }> | undefined, seen) =>
          !best || seen.version > best.version ? seen : best,
        undefined,
      );
      const marks = new Set(acknowledged.map((seen) => seen.mark));
      const found: string[] = [];
      for (const seen of history.of("dayEnd")) {
        if (last && seen.version < last.version)
          found.push(`read version ${seen.version} at day's end, acknowledged was ${last.version}`);
        for (const mark of marks)
          if (!seen.mark.split(",").includes(mark))
            found.push(`acknowledged change ${mark} is not in what was read at day's end`);
      }
      return found;
    },
  },
  {
    name: "loser-never-in-force",
    sentence: "A refused or losing change is never in force",
    check: (history) => {
      const refused = new Set(
        history
          .of("change")
          .filter((seen) => seen.outcome === "refused")
          .map((seen) => seen.mark),
      );
      return [...history.of("inForce"), ...history.of("dayEnd")].flatMap((seen) =>
        seen.mark
          .split(",")
          .filter((mark) => refused.has(mark))
          .map((mark) => `refused change ${mark} was in force`),
      );
    },
  },
  {
    name: "not-flooded",
    sentence: "A replica that has just started is not flooded",
    check: (history, endpoints, options) => {
      const found: string[] = [];
      for (const started of history.of("replicaStarted").filter((seen) => seen.at > (options.settledAt ?? 0))) {
        const first = allRuns(endpoints).filter(
          (run) => run.replica === started.replica && run.at >= started.at && run.at < started.at + 1000,
        );
        if (first.length > started.capacity * bounds.firstSecondShare)
          found.push(
            `replica ${started.replica} got ${first.length} in its first second, capacity ${started.capacity}`,
          );
      }
      return found;
    },
  },
  {
    name: "planned-moves-answer",
    sentence: "Work in flight during a planned move is not dropped unanswered",
    check: (history, _replicas, options) => [
      ...history
        .of("stopped")
        .filter((seen) => seen.unanswered > 0)
        .map((seen) => `${seen.process} stopped with ${seen.unanswered} unanswered`),
      ...(options.plannedOnly
        ? history
            .of("failed")
            .map((seen) => `${seen.kind} ${seen.requestId} got ${seen.code} during a planned move: ${seen.detail}`)
        : []),
    ],
  },
  {
    name: "service-returns",
    sentence: "After a heavy fault, service returns within about twelve seconds",
    check: (history) => {
      const found: string[] = [];
      const faults = history.of("fault");
      const begin = Math.min(Infinity, ...faults.map((seen) => seen.at));
      // what is asked twelve seconds after the last fault, or later, is served wherever its shard is
      const settled = Math.max(
        -Infinity,
        ...faults.map((seen) => seen.at + bounds.recoveryMs),
        ...history.of("restored").map((seen) => seen.at + bounds.restoredMs),
      );
      for (const seen of history.of("failed"))
        if (faults.length > 0 && seen.at - seen.tookMs > settled)
          found.push(
            `${seen.kind} ${seen.requestId} still failed (${seen.code}: ${seen.detail}) ${(seen.at - settled).toFixed(0)} ms after service should have returned`,
          );
      for (const seen of history.of("lotAccepted"))
        if (seen.at - seen.tookMs >= begin && seen.tookMs > bounds.recoveryMs + 1500)
          found.push(`lot ${seen.lot} was accepted only after ${seen.tookMs.toFixed(0)} ms`);
      const end = history.of("dayEnd")[0]?.at ?? Math.max(0, ...history.of("served").map((seen) => seen.at));
      for (const fault of history.of("fault").filter((seen) => seen.heavy))
        for (const kind of ["lookup", "stream", "lot"] as const) {
          const times = history
            .of("served")
            .filter((seen) => seen.kind === kind)
            .map((seen) => seen.at)
            .sort((left, right) => left - right);
          const limit = fault.at + bounds.recoveryMs;
          if (end < limit + bounds.quietGapMs[kind]) continue;
          let last = fault.at;
          for (const time of [...times.filter((each) => each > fault.at), end]) {
            if (last > limit) break;
            if (time - last > bounds.quietGapMs[kind] && time > limit) {
              found.push(
                `no ${kind} was served from ${(last - fault.at).toFixed(0)} to ${(time - fault.at).toFixed(0)} ms after ${fault.fault}`,
              );
              break;
            }
            last = time;
          }
        }
      return found;
    },
  },
  {
    name: "one-ledger-order",
    sentence: "the ledger reads back in one agreed order from any node",
    check: (history) => {
      const found: string[] = [];
      const reads = history.of("ledger");
      for (const read of reads)
        for (let at = 1; at < read.stamps.length; at += 1)
          if (Stamp.compare(Stamp.parse(read.stamps[at - 1])!, Stamp.parse(read.stamps[at])!) > 0)
            found.push(`ledger read at ${read.ingress} is out of order at ${read.stamps[at]}`);
      for (const left of reads)
        for (const right of reads) {
          if (left === right || left.stamps.length === 0 || right.stamps.length === 0) continue;
          const from = Math.max(...[left, right].map((read) => Stamp.parse(read.stamps[0])!.time));
          const to = Math.min(...[left, right].map((read) => Stamp.parse(read.stamps[read.stamps.length - 1])!.time));
          const within = (read: { stamps: string[] }): string =>
            read.stamps.filter((stamp) => Stamp.parse(stamp)!.time > from && Stamp.parse(stamp)!.time < to).join(" ");
          if (within(left) !== within(right)) found.push(`ledger reads at ${left.ingress} and ${right.ingress} differ`);
        }
      return found.slice(0, 5);
    },
  },
];

/**
 * The checker: every sentence under "What must never happen" as a named invariant over a history.
 *
 * @example
 * const violations = Checker.check(history, replicas, { settledAt });
 */
export const Checker = {
  names: rules.map((rule) => rule.name),
  sentences: rules.map(({ name, sentence }) => ({ name, sentence })),
  check(history: History, endpoints: ObservedEndpoint[], options: CheckOptions = {}): Violation[] {
    return rules.flatMap((rule) =>
      rule.check(history, endpoints, options).map((detail) => ({ invariant: rule.name, detail })),
    );
  },
  /** How often each invariant had something to judge. @example Checker.judged(history, replicas) */
  judged(history: History, endpoints: ObservedEndpoint[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const seen of history.observations) counts[seen.tag] = (counts[seen.tag] ?? 0) + 1;
    counts.runs = endpoints.reduce((sum, endpoint) => sum + endpoint.runs.length, 0);
    return counts;
  },
};
