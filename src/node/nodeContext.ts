import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Rpc } from "../rpc/rpc";
import { Fault, Result } from "../common/fault";
import { ClusterSnapshot, Endpoint } from "./clusterSnapshot";
import { ControlRequest } from "./controlRequest";
import { Node } from "./node";
import { OrderDeadline, OrderDeadlines } from "./orderDeadline";

export type Announcement = Omit<Endpoint, "key" | "bornAt" | "instance" | "warmAt"> & {
  instance?: string;
  leaving?: boolean; // it takes no new work from now on; the same as a goodbye, and it may be said again
  warmLeftMs?: number; // how much longer it stays cold
  sequence?: number; // rises with every call, so that a late one is known
};
/** Where the control lead answered last, by host. */
const leaders = new WeakMap<NodeContext, string>();
const deadlines = new WeakMap<NodeContext, OrderDeadlines>();
function deadlinesOf(host: NodeContext): OrderDeadlines {
  const kept = deadlines.get(host) ?? new OrderDeadlines(host.env, host.rpc);
  deadlines.set(host, kept);
  return kept;
}
/** One call to one control member; an order goes with its deadline, so that it isn't carried out late. */
function* askOne(host: NodeContext, address: string, body: ControlRequest, until: number): Task<Result<any>> {
  const left = (): number => Math.min(Constants.controlAskMs, until - host.env.mono());
  if (body.op === "read") return yield* host.rpc.call(address, "control.op", body, left());
  const deadline = yield* deadlinesOf(host).at(address, until, left());
  if (!deadline.ok)
    return deadline.fault.tag === "timeout" ? Fault.fail("refused", "control", address, "silent") : deadline;
  return yield* host.rpc.call(address, "control.op", { ...body, deadline: deadline.value }, left());
}
/** What the outside adapters need of the process they run in. */
export interface NodeContext {
  readonly env: Env;
  readonly rpc: Rpc;
  readonly id: string;
  snapshot(): ClusterSnapshot;
  announce(announcement: Announcement): Task<Result<unknown>>;
  goodbye(id: string): Task<Result<unknown>>;
}

/** An instance that left or said goodbye stays gone; who says so again, or late, is acknowledged. */
function* announceGone(
  node: Node,
  announcement: Announcement,
  key: string,
  known: Endpoint | undefined,
): Task<Result<unknown>> {
  const late = announcement.sequence !== undefined && announcement.sequence <= (known?.sequence ?? Infinity);
  if (announcement.leaving || late) return Fault.ok({ instance: announcement.instance, gone: true });
  return Fault.fail("conflict", "announce", announcement.id, `instance ${key} has said goodbye`);
}
/** A replica's word, taken in here and told to the others; needs no control lead. */
function* announce(node: Node, announcement: Announcement): Task<Result<unknown>> {
  const { gossip: news, env } = node;
  const { leaving, warmLeftMs, ...told } = announcement;
  const known = news.live(`replica/${announcement.id}/`)[0];
  let instance = announcement.instance ?? (known?.value as Endpoint | undefined)?.instance ?? "0";
  let key = `replica/${announcement.id}/${instance}`;
  if (news.isRemoved(key)) {
    const gone = news.find(key)?.value as Endpoint | undefined;
    if (announcement.instance !== undefined || leaving || news.ageMs(key) < Constants.goodbyeHoldMs)
      return yield* announceGone(node, announcement, key, gone);
    instance = `i${Math.floor(env.wall())}`;
    key = `replica/${announcement.id}/${instance}`;
  }
  const before = news.live(key)[0]?.value as Endpoint | undefined;
  if (before?.sequence !== undefined && announcement.sequence !== undefined && announcement.sequence < before.sequence)
    return Fault.ok({ instance, late: true });
  const warmAt = warmLeftMs === undefined ? {} : { warmAt: warmLeftMs > 0 ? env.wall() + warmLeftMs : 0 };
  const value: Omit<Endpoint, "key"> = { ...told, instance, bornAt: before?.bornAt ?? env.wall(), ...warmAt };
  if (leaving) {
    env.log(1202, { replica: key });
    yield* news.removeAndReplicate([key], value);
    return Fault.ok({ instance, gone: true });
  }
  if (!before) env.log(1201, { replica: key, pool: announcement.pool });
  const colder = Math.abs((value.warmAt ?? 0) - (before?.warmAt ?? 0)) > Constants.warmJitterMs;
  const unchanged =
    before &&
    !colder &&
    JSON.stringify({ ...before, warmAt: 0, sequence: 0 }) === JSON.stringify({ ...value, warmAt: 0, sequence: 0 });
  if (unchanged && news.ageMs(key) < Constants.endpointRenewMs) return Fault.ok({ instance });
  news.publish(key, value, Constants.endpointLeaseMs, !before || colder);
  return Fault.ok({ instance });
}

/** The same, given up when its caller stops waiting, though a connection may still be under way. */
function* askInTime(host: NodeContext, address: string, body: ControlRequest, until: number): Task<Result<any>> {
  const response = Csp.chan<Result<any>>(1);
  Csp.go(host.env.scope, "ask control", function* () {
    Csp.offer(response, yield* askOne(host, address, body, until));
  });
  const inTime = yield* EnvTools.takeWithin(host.env, response, Math.max(0, until - host.env.mono()));
  return inTime ?? Fault.fail("timeout", "control", address, "no response while its caller waits");
}

/**
 * A host on a member, and the asks that any host can make.
 *
 * @example
 * const host = Host.of(node);
 * const manifest = yield* Host.askControl(host, { op: "read", what: "manifest" }, 4000);
 */
export const NodeContext = {
  of(node: Node): NodeContext {
    return {
      env: node.env,
      rpc: node.rpc,
      id: node.self.id,
      snapshot: () => node.snapshot(),
      announce: (announcement) => announce(node, announcement),
      *goodbye(id) {
        const facts = node.gossip.live(`replica/${id}/`);
        const keys = facts.length > 0 ? facts.map((fact) => fact.key) : [`replica/${id}/0`];
        if (facts.length > 0) node.env.log(1202, { replica: id });
        yield* node.gossip.removeAndReplicate(keys);
        return Fault.ok(true);
      },
    };
  },

  /** Asks the control lead, wherever it is; a change is asked again under its change id. @example yield* Host.askControl(host, body, 4000) */
  *askControl(host: NodeContext, body: ControlRequest, withinMs: number): Task<Result<any>> {
    const { env } = host;
    const until = env.mono() + withinMs;
    let hint = leaders.get(host) ?? "";
    let maybeTaken = false;
    let last: Result<any> = Fault.fail("refused", "control", "control", "no control member is known");
    for (let attempt = 0; env.mono() < until; attempt += 1) {
      const controls = host
        .snapshot()
        .members.filter((member) => member.program === "control")
        .map((member) => member.address);
      const address = hint || controls[attempt % Math.max(1, controls.length)];
      hint = "";
      if (address) {
        last = yield* askInTime(host, address, body, until);
        if (last.ok) {
          leaders.set(host, address);
          return last;
        }
        switch (last.fault.tag) {
          case "notLead":
            hint = last.fault.detail;
            break;
          case "refused":
            break;
          case "late":
            if (last.fault.detail !== OrderDeadline.otherClock) return last;
            deadlinesOf(host).forget();
            hint = address;
            break;
          case "timeout":
          case "broken":
          case "unknown":
            maybeTaken = true;
            break;
          default:
            return last;
        }
      }
      if (!hint) yield* EnvTools.sleep(env, Math.max(0, Math.min(Constants.controlRetryMs, until - env.mono())));
    }
    if (maybeTaken && body.op !== "read")
      return Fault.fail("unknown", "change", "control", "no answer in time: ask after it by its change id");
    return last.ok
      ? last
      : Fault.busy("control", last.fault.member, `no control lead: ${last.fault.detail}`, 2 * Constants.retryAfterMs);
  },
};
