import * as fs from "fs";
import { Task } from "../runtime/csp";
import { EnvTools } from "../runtime/env";
import { History } from "../tools/history";
import { LinkProxies } from "../tools/linkProxies";
import type { Fleet } from "./fleetCommand";

type Trouble = { about: string; run: (fleet: Fleet, history: History) => Task<void> };
const planOf = (fleet: Fleet, name: string): Fleet["plan"]["processes"][number] =>
  fleet.plan.processes.find((each) => each.name === name)!;
const note = (fleet: Fleet, history: History, fault: string): void =>
  history.add({ tag: "fault", at: fleet.env.wall(), fault, heavy: true });
/** The store or control member that leads most, as the fleet itself says. */
function* leading(fleet: Fleet, program: "store" | "control"): Task<string> {
  const members = yield* fleet.json(fleet.plan.ingressHttp[0], "GET", "/v1/members");
  const addressOf = (id: string): string =>
    members?.body.members.find((member: { id: string }) => member.id === id)?.address ?? "";
  const of = fleet.plan.processes.filter((each) => each.settings.program === program);
  if (program === "store") {
    const leaders = new Map<string, number>();
    for (const view of members?.body.views ?? [])
      leaders.set(addressOf(view.lead), (leaders.get(addressOf(view.lead)) ?? 0) + 1);
    return [...of].sort(
      (left, right) => (leaders.get(right.settings.address) ?? 0) - (leaders.get(left.settings.address) ?? 0),
    )[0].name;
  }
  for (const each of of) {
    const metrics = yield* fleet.json(each.settings.http, "GET", "/metrics");
    if (typeof metrics?.body === "string" && metrics.body.includes("petrelbeam_is_lead 1")) return each.name;
  }
  return of[0].name;
}
const wipe = (folder: string): void => fs.rmSync(folder, { recursive: true, force: true });

const killed = (program: "store" | "control", empty: boolean): Trouble => ({
  about: `the ${program} that leads most is killed${empty ? ", its data folder emptied" : ""}, and started again after 6 s`,
  *run(fleet, history) {
    const name = yield* leading(fleet, program);
    note(fleet, history, `kill ${name}${empty ? " and empty its folder" : ""}`);
    fleet.signal(name, "SIGKILL");
    yield* fleet.ended(name, 5000);
    if (empty) wipe(planOf(fleet, name).settings.data!);
    yield* EnvTools.sleep(fleet.env, 6000);
    fleet.start(planOf(fleet, name));
  },
});
const frozen = (program: "store" | "control"): Trouble => ({
  about: `the ${program} that leads most is stopped by SIGSTOP for 8 s`,
  *run(fleet, history) {
    const name = yield* leading(fleet, program);
    note(fleet, history, `freeze ${name}`);
    fleet.signal(name, "SIGSTOP");
    yield* EnvTools.sleep(fleet.env, 8000);
    fleet.signal(name, "SIGCONT");
  },
});

const cutOff = (
  about: string,
  how: "in" | "out" | "both",
  who: (fleet: Fleet) => Task<string[]>,
  forMs: number,
): Trouble => ({
  about,
  *run(fleet, history) {
    const names = yield* who(fleet);
    note(fleet, history, `cut ${how} at ${names.join(" and ")}`);
    for (const name of names)
      for (const other of [
        ...fleet.plan.proxied.map((each) => each.name).filter((each) => !names.includes(each)),
        LinkProxies.stranger,
      ]) {
        if (how !== "in") fleet.proxies!.cut(name, other);
        if (how !== "out") fleet.proxies!.cut(other, name);
      }
    yield* EnvTools.sleep(fleet.env, forMs);
    fleet.proxies!.heal();
  },
});
const theStore = function* (fleet: Fleet): Task<string[]> {
  return [yield* leading(fleet, "store")];
};
const controls = function* (fleet: Fleet): Task<string[]> {
  return fleet.plan.processes.filter((each) => each.settings.program === "control").map((each) => each.name);
};
const halfOfControl = function* (fleet: Fleet): Task<string[]> {
  const all = yield* controls(fleet);
  return all.slice(0, Math.ceil(all.length / 2));
};

/**
 * Troubles brought about among real processes.
 *
 * @example
 * yield* FleetTroubles.all["kill-store"].run(fleet, history);
 */
export const FleetTroubles = {
  all: {
    "kill-store": killed("store", false),
    "empty-store": killed("store", true),
    "kill-control": killed("control", false),
    "empty-control": killed("control", true),
    "freeze-store": frozen("store"),
    "freeze-control": frozen("control"),
    "kill-ingress": {
      about: "an ingress and its agent are killed, and started again",
      *run(fleet, history) {
        note(fleet, history, "kill ingress-1 and agent-1");
        for (const name of ["ingress-1", "agent-1"]) fleet.signal(name, "SIGKILL");
        for (const name of ["ingress-1", "agent-1"]) yield* fleet.ended(name, 5000);
        yield* EnvTools.sleep(fleet.env, 3000);
        for (const name of ["agent-1", "ingress-1"]) fleet.start(planOf(fleet, name));
      },
    },
    "kill-two-stores": {
      about: "the two busiest stores are killed at once, and started again after 6 s",
      *run(fleet, history) {
        const name = yield* leading(fleet, "store");
        const second = fleet.plan.processes.find(
          (each) => each.settings.program === "store" && each.name !== name,
        )!.name;
        note(fleet, history, `kill ${name} and ${second}`);
        for (const each of [name, second]) fleet.signal(each, "SIGKILL");
        for (const each of [name, second]) yield* fleet.ended(each, 5000);
        yield* EnvTools.sleep(fleet.env, 6000);
        for (const each of [name, second]) fleet.start(planOf(fleet, each));
      },
    },
    "cut-store": cutOff("the busiest store is cut off for 9 s", "both", theStore, 9000),
    "cut-store-in": cutOff("nothing comes in to the busiest store for 9 s", "in", theStore, 9000),
    "cut-store-out": cutOff("nothing comes out of the busiest store for 9 s", "out", theStore, 9000),
    "cut-control": cutOff("the whole control group is cut off for 15 s", "both", controls, 15_000),
    "cut-control-in-two": cutOff(
      "half of the control group is cut off from all others for 9 s",
      "both",
      halfOfControl,
      9000,
    ),
    "stop-store": {
      about: "the busiest store is stopped by SIGTERM and started again",
      *run(fleet, history) {
        const name = yield* leading(fleet, "store");
        history.add({ tag: "fault", at: fleet.env.wall(), fault: `SIGTERM to ${name}`, heavy: false });
        fleet.signal(name, "SIGTERM");
        if (!(yield* fleet.ended(name, 20_000))) throw new Error(`${name} did not end by itself`);
        fleet.start(planOf(fleet, name));
      },
    },
  } as Record<string, Trouble>,
  /** How long until a kind was served again without a gap, ms after the fault. @example FleetTroubles.recovery(history, fault, "lot", 5000) */
  recovery(history: History, at: number, kind: "lookup" | "stream" | "lot", gapMs: number): number {
    const times = history
      .of("served")
      .filter((seen) => seen.kind === kind)
      .map((seen) => seen.at)
      .sort((left, right) => left - right);
    let last = times.filter((time) => time <= at).pop() ?? at;
    let recovered = 0;
    for (const time of times.filter((each) => each > at && each < at + 20_000)) {
      if (time - last > gapMs) recovered = time - at;
      last = time;
    }
    return recovered;
  },
};
