import { SimulatedMembership } from "./simulatedMembership";

export type Loss = "rack" | "zone" | "regions";
export type LossFound = {
  loss: Loss;
  members: number;
  lost: number;
  knownMs: number | undefined;
  falseSuspicions: number;
  calmBytes: number;
  troubledBytes: number;
  mendingBytes: number;
  mendedMs: number | undefined;
};
const zones = 25;
const regions = 7;
const calmMs = 10_000;
const mendMs = 10_000;

/**
 * What the others spend and how long they need when a rack, a zone or the links between two regions are lost.
 *
 * @example
 * const found = await LossScale.measure("zone", 100, 17, 60_000, 1);
 */
export const LossExperiment = {
  /** @example await LossScale.measure("regions", 100, 17, 120_000, 1) */
  async measure(loss: Loss, members: number, endpoints: number, forMs: number, seed: number): Promise<LossFound> {
    const membership = new SimulatedMembership({ members, endpoints: endpoints, zones, regions, seed });
    await membership.boot(120_000);
    await membership.world.run(5000);
    const calm = await membership.measureRates(calmMs);
    const suspicions = membership.suspicions;
    const from = membership.world.now;
    let lost = 0;
    let knownMs: number | undefined;
    switch (loss) {
      case "rack": {
        // half of a zone, one in fifty of the members
        const found = await membership.killMembers(
          (each) => each.zone === 3 && Math.floor((Number(each.name.slice(7)) - 1) / zones) % 2 === 0,
          60_000,
        );
        [lost, knownMs] = [found.lost, found.tookMs];
        break;
      }
      case "zone": {
        const found = await membership.killMembers((each) => each.zone === 3, 60_000);
        [lost, knownMs] = [found.lost, found.tookMs];
        break;
      }
      case "regions":
        membership.cutRegions(0, 1);
        break;
      default: {
        const never: never = loss;
        throw new Error(String(never));
      }
    }
    const falseSuspicions = loss === "regions" ? 0 : LossExperiment.falselySuspected(membership);
    const left = Math.max(1000, forMs - (membership.world.now - from));
    const troubled = await membership.measureRates(left);
    membership.world.heal();
    const healedAt = membership.world.now;
    const whole = (): boolean =>
      membership
        .runningMembers()
        .every((member) => member.otherMemberCount() === membership.runningMembers().length - 1);
    const mending = await membership.measureRates(mendMs);
    const mendedMs = loss === "regions" ? await membership.runUntil(60_000, whole) : undefined;
    const found: LossFound = {
      loss,
      members,
      lost,
      knownMs,
      falseSuspicions: loss === "regions" ? membership.suspicions - suspicions : falseSuspicions,
      calmBytes: calm.bytes,
      troubledBytes: troubled.bytes,
      mendingBytes: mending.bytes,
      mendedMs: mendedMs === undefined ? undefined : membership.world.now - healedAt,
    };
    membership.end();
    return found;
  },
  /** Members that live and that somebody holds for suspect or dead. @example LossScale.falselySuspected(hollow) */
  falselySuspected(membership: SimulatedMembership): number {
    const living = membership.runningMembers();
    return living.filter((member) =>
      living.some((other) => (other.node.membership.find(member.node.self.id)?.state ?? "alive") !== "alive"),
    ).length;
  },
  /** @example LossScale.text(found) */
  format(found: LossFound): string {
    const ms = (value: number | undefined): string => (value === undefined ? "not in time" : `${value.toFixed(0)} ms`);
    const bytes = `bytes a member a second ${found.calmBytes.toFixed(0)} calm, ${found.troubledBytes.toFixed(0)} while it lasts, ${found.mendingBytes.toFixed(0)} in the ${mendMs / 1000} s after`;
    const what =
      found.loss === "regions"
        ? `regions 0 and 1 cut from each other: ${found.falseSuspicions} suspicions in all, whole again after ${ms(found.mendedMs)} (looked at from ${mendMs} ms on)`
        : `${found.loss} of ${found.lost} lost: known to all after ${ms(found.knownMs)}, ${found.falseSuspicions} living members suspected then`;
    return `${found.members} members: ${what}; ${bytes}`;
  },
};
