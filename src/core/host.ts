import { Constants } from "../constants";
import { Task } from "../csp/csp";
import { Env, EnvTools } from "../env/env";
import { Rpc } from "../wire/rpc";
import { Fault, Result } from "./fault";
import { Frame, Replica } from "./frame";
import { Node } from "./node";

export type Announcement = Omit<Replica, "key" | "bornAt" | "instance"> & { instance?: string };
/** What the outside adapters need of the process they run in. */
export interface Host {
  readonly env: Env;
  readonly rpc: Rpc;
  readonly id: string;
  frame(): Frame;
  announce(announcement: Announcement): Task<Result<unknown>>;
  goodbye(id: string): Task<Result<unknown>>;
}

/**
 * A host on a member, and the asks that any host can make.
 *
 * @example
 * const host = Host.of(node);
 * const manifest = yield* Host.askControl(host, { op: "read", what: "manifest" }, 4000);
 */
export const Host = {
  of(node: Node): Host {
    return {
      env: node.env, rpc: node.rpc, id: node.self.id, frame: () => node.frame(),
      *announce(announcement) {
        const { news } = node;
        const known = news.current(`replica/${announcement.id}/`)[0];
        let instance = announcement.instance ?? (known?.value as Replica | undefined)?.instance ?? "0";
        let key = `replica/${announcement.id}/${instance}`;
        if (news.isGone(key)) {
          if (announcement.instance !== undefined || news.versionAge(key) < Constants.goodbyeHoldMs)
            return Fault.fail("conflict", "announce", announcement.id, "this instance has said goodbye");
          instance = `i${Math.floor(node.env.wall())}`;
          key = `replica/${announcement.id}/${instance}`;
        }
        const before = news.current(key)[0]?.value as Replica | undefined;
        const value = { ...announcement, instance, bornAt: before?.bornAt ?? node.env.wall() };
        if (!before) node.env.log(1201, { replica: key, pool: announcement.pool });
        if (before && JSON.stringify(before) === JSON.stringify(value) && news.versionAge(key) < Constants.replicaRenewMs) return Fault.ok({ instance });
        news.tell(key, value, Constants.replicaGrantMs, !before);
        return Fault.ok({ instance });
      },
      *goodbye(id) {
        const facts = node.news.current(`replica/${id}/`);
        for (const key of facts.length > 0 ? facts.map((fact) => fact.key) : [`replica/${id}/0`]) node.news.end(key);
        node.env.log(1202, { replica: id });
        return Fault.ok(true);
      },
    };
  },

  /** Asks the control lead, wherever it is; a change is asked again under its change id. @example yield* Host.askControl(host, body, 4000) */
  *askControl(host: Host, body: Record<string, unknown>, withinMs: number): Task<Result<any>> {
    const { env } = host;
    const until = env.mono() + withinMs;
    let hint = "";
    let maybeTaken = false;
    let last: Result<any> = Fault.fail("refused", "control", "control", "no control member is known");
    for (let round = 0; env.mono() < until; round += 1) {
      const controls = host.frame().members.filter((member) => member.program === "control").map((member) => member.address);
      const address = hint || controls[round % Math.max(1, controls.length)];
      hint = "";
      if (address) {
        last = yield* host.rpc.ask(address, "control.op", body, Math.min(2200, until - env.mono()));
        if (last.ok) return last;
        switch (last.fault.tag) {
          case "notLead":
            hint = last.fault.detail;
            break;
          case "refused":
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
      if (!hint) yield* EnvTools.sleep(env, 120);
    }
    if (maybeTaken && body.op === "change") return Fault.fail("unknown", "change", "control", "no answer in time: ask after it by its change id");
    return last.ok ? last : Fault.busy("control", last.fault.member, `no control lead: ${last.fault.detail}`, 2 * Constants.retryAfterMs);
  },
};
