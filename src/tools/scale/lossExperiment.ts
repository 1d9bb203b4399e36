import { SimulatedMembership } from "./simulatedMembership";

export type Loss = "rack" | "zone" | "regions";
export type LossMeasurement = {
  loss: Loss;
  members: number;
  lost: number;
  /** Time until all running members consider the lost ones dead. */
  detectedMs: number | undefined;
  falseSuspicions: number;
  /** Bytes sent per member per second before, during and after the loss. */
  bytesBefore: number;
  bytesDuring: number;
  bytesAfter: number;
  /** Time from the end of a partition until all members know each other again. */
  recoveredMs: number | undefined;
};
const ZONES = 25;
const REGIONS = 7;
const BEFORE_MS = 10_000;
const AFTER_MS = 10_000;

/**
 * Measures what the remaining members send and how long they need when a rack, a zone or the links between two regions are
 * lost.
 *
 * @example
 * const measured = await LossExperiment.measure("zone", 100, 17, 60_000, 1);
 */
export const LossExperiment = {
  async measure(
    loss: Loss,
    members: number,
    endpoints: number,
    durationMs: number,
    seed: number,
  ): Promise<LossMeasurement> {
    const membership = new SimulatedMembership({ members, endpoints, zones: ZONES, regions: REGIONS, seed });
    await membership.boot(120_000);
    await membership.world.run(5000);
    const ratesBefore = await membership.measureRates(BEFORE_MS);
    const suspicionsBefore = membership.suspicions;
    const lostAt = membership.world.now;
    let lost = 0;
    let detectedMs: number | undefined;
    switch (loss) {
      case "rack": {
        // A rack is half of a zone, one in fifty of the members.
        const killed = await membership.killMembers(
          (each) => each.zone === 3 && Math.floor((Number(each.name.slice(7)) - 1) / ZONES) % 2 === 0,
          60_000,
        );
        [lost, detectedMs] = [killed.lost, killed.tookMs];
        break;
      }
      case "zone": {
        const killed = await membership.killMembers((each) => each.zone === 3, 60_000);
        [lost, detectedMs] = [killed.lost, killed.tookMs];
        break;
      }
      case "regions":
        membership.partitionRegions(0, 1);
        break;
      default: {
        const never: never = loss;
        throw new Error(String(never));
      }
    }
    const falseSuspicions = loss === "regions" ? 0 : LossExperiment.countFalselySuspected(membership);
    const remainingMs = Math.max(1000, durationMs - (membership.world.now - lostAt));
    const ratesDuring = await membership.measureRates(remainingMs);
    membership.world.heal();
    const healedAt = membership.world.now;
    const isRecovered = (): boolean =>
      membership
        .runningMembers()
        .every((member) => member.otherMemberCount() === membership.runningMembers().length - 1);
    const ratesAfter = await membership.measureRates(AFTER_MS);
    const recoveredMs = loss === "regions" ? await membership.runUntil(60_000, isRecovered) : undefined;
    const measured: LossMeasurement = {
      loss,
      members,
      lost,
      detectedMs,
      falseSuspicions: loss === "regions" ? membership.suspicions - suspicionsBefore : falseSuspicions,
      bytesBefore: ratesBefore.bytes,
      bytesDuring: ratesDuring.bytes,
      bytesAfter: ratesAfter.bytes,
      recoveredMs: recoveredMs === undefined ? undefined : membership.world.now - healedAt,
    };
    membership.end();
    return measured;
  },
  /** How many running members another one considers suspected or dead. */
  countFalselySuspected(membership: SimulatedMembership): number {
    const running = membership.runningMembers();
    return running.filter((member) =>
      running.some((other) => (other.node.membership.find(member.node.self.id)?.state ?? "alive") !== "alive"),
    ).length;
  },
  /** Describes a measurement in one line. */
  format(measured: LossMeasurement): string {
    const ms = (value: number | undefined): string => (value === undefined ? "not in time" : `${value.toFixed(0)} ms`);
    const bytes = `bytes per member per second: ${measured.bytesBefore.toFixed(0)} before, ${measured.bytesDuring.toFixed(0)} during the loss, ${measured.bytesAfter.toFixed(0)} in the ${AFTER_MS / 1000} s after it`;
    const result =
      measured.loss === "regions"
        ? `regions 0 and 1 partitioned: ${measured.falseSuspicions} suspicions in total, recovered after ${ms(measured.recoveredMs)} (checked from ${AFTER_MS} ms on)`
        : `${measured.loss} of ${measured.lost} lost: known to all after ${ms(measured.detectedMs)}, ${measured.falseSuspicions} running members suspected then`;
    return `${measured.members} members: ${result}; ${bytes}`;
  },
};
