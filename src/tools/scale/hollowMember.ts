import { Fault, Result } from "../../common/fault";
import { NodeContext } from "../../node/nodeContext";
import { Node } from "../../node/node";
import { Task } from "../../runtime/csp";
import { Env, EnvTools } from "../../runtime/env";
import { Program } from "../../membership/member";

export type HollowSettings = { program: Program; district: string; address: string; seeds: string[] };
/** How often a stand-in replica announces itself, ms. */
const announceEveryMs = 900;
/** How often a member looks at its frame, ms, as live work would make it. */
const lookEveryMs = 250;

/**
 * A member without traffic: the real membership, news and frame over whatever wire its environment has.
 *
 * @example
 * const started = yield* HollowMember.start(env, { program: "agent", district: "r1-z1", address, seeds });
 * if (started.ok) started.value.knows(780);
 */
export class HollowMember {
  private constructor(readonly node: Node) {}
  /** @example yield* HollowMember.start(env, settings) */
  static *start(env: Env, settings: HollowSettings): Task<Result<HollowMember>> {
    const { program, ...place } = settings;
    const started = yield* Node.start(env, { program, cluster: "scale", ...place, http: settings.address }, program);
    if (!started.ok) return started;
    const member = new HollowMember(started.value);
    EnvTools.keep(env, env.scope, "look", () => member.lookLoop());
    return Fault.ok(member);
  }
  private *lookLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.node.env, lookEveryMs);
      this.node.snapshot();
    }
  }
  /** Announces replicas, each with a load that changes from one time to the next. @example member.announce(["r1", "r2"], "r1-z1"); */
  announce(ids: string[], zone: string): void {
    const { node } = this;
    const host = NodeContext.of(node);
    EnvTools.keep(node.env, node.env.scope, "announce", function* () {
      yield* EnvTools.sleep(node.env, announceEveryMs * node.env.random()); // no two in step
      for (let turn = 0; ; turn += 1) {
        for (const id of ids) {
          const number = Number(id.replace(/^\D+/, ""));
          const announcement = {
            id,
            address: `10.${number >> 8}.${number & 255}.1:9000`,
            pool: `pool-${number % 9}`,
            district: zone,
            version: "v1",
            capacity: 16,
            active: turn % 16,
            waiting: 0,
            instance: "1",
          };
          yield* host.announce(announcement);
          yield* EnvTools.sleep(node.env, announceEveryMs / ids.length);
        }
      }
    });
  }
  /** How many other members it holds for alive. @example member.others() */
  others(): number {
    return this.node.membership.alive().length - 1;
  }
  /** How many replicas it may choose from. @example member.replicas() */
  endpoints(): number {
    return this.node.gossip.live("replica/").length;
  }
  /** Starts members in a scope of each one's own, one after the other. @example yield* HollowMember.all(envs, settings) */
  static *all(envs: Env[], settings: HollowSettings[]): Task<HollowMember[]> {
    const members: HollowMember[] = [];
    for (const [at, env] of envs.entries()) {
      const started = yield* HollowMember.start(env, settings[at]);
      if (!started.ok) throw new Error(`hollow member ${settings[at].address}: ${started.fault.detail}`);
      members.push(started.value);
    }
    return members;
  }
  /** Ends the member at once, without a word. @example member.end(); */
  end(): void {
    this.node.env.scope.stop();
  }
}
