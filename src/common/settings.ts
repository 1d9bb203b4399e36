import Ajv, { ErrorObject } from "ajv";
import { Fault, Result } from "./fault";

/** Settings of a process. The field names are those of the settings file. */
export interface Settings {
  program: "ingress" | "agent" | "store" | "control";
  /** Name of the cluster; messages from members of another cluster are ignored. */
  cluster: string;
  /** Failure domain (region and zone) of the process. */
  district: string;
  /** Address at which other members reach the process, over TCP and UDP. */
  address: string;
  /** Address on which it listens, if not `address`. */
  bind?: string;
  /** Address on which it serves HTTP to callers and operators. */
  http: string;
  /** Addresses of members to contact for joining; required for all programs but an ingress with an agent. */
  seeds?: string[];
  /** Data folder; required for storage and control nodes. */
  data?: string;
  /** For an ingress, the address of its agent. With seeds instead, the agent runs within the ingress. */
  agent?: string;
  /**
   * For a control node, the addresses of all nodes that bootstrap the consensus group, including its own. If empty, the
   * node does not take part in a bootstrap.
   */
  founders?: string[];
  /** Name of the machine that operators use. */
  name?: string;
  /** Machines that may be lost at once with their disks: 2 × losses + 1 voters, losses + 2 replicas of each shard. */
  losses?: number;
  /** Time after SIGTERM at which the process is killed, ms. Default: `Constants.gracePeriodMs`. */
  gracePeriodMs?: number;
  /** Lowest level that is logged. */
  log?: "debug" | "info" | "warn" | "error";
}

const address = { type: "string", pattern: "^[0-9.]+:[0-9]{1,5}$" };
const schema = {
  type: "object",
  additionalProperties: false,
  required: ["program", "cluster", "district", "address", "http"],
  properties: {
    program: { enum: ["ingress", "agent", "store", "control"] },
    cluster: { type: "string", minLength: 1, maxLength: 60 },
    district: { type: "string", minLength: 1, maxLength: 60 },
    address,
    bind: address,
    http: address,
    seeds: { type: "array", items: address, minItems: 1, maxItems: 5 },
    data: { type: "string", minLength: 1 },
    agent: address,
    name: { type: "string", minLength: 1, maxLength: 120 },
    losses: { type: "integer", minimum: 0, maximum: 3 },
    founders: { type: "array", items: address, maxItems: 7, uniqueItems: true },
    gracePeriodMs: { type: "number", exclusiveMinimum: 0 },
    log: { enum: ["debug", "info", "warn", "error"] },
  },
  allOf: [
    {
      if: { properties: { program: { const: "ingress" } } },
      then: { anyOf: [{ required: ["agent"] }, { required: ["seeds"] }] },
      else: { required: ["seeds"] },
    },
    { if: { properties: { program: { const: "store" } } }, then: { required: ["data"] } },
    { if: { properties: { program: { const: "control" } } }, then: { required: ["data", "founders"] } },
  ],
};
const isValid = new Ajv({ allErrors: true, strict: false }).compile<Settings>(schema);

/** Describes an error in one line: its path and what is wrong. */
function describe(error: ErrorObject): string {
  const path = error.instancePath.slice(1).replace(/\//g, ".");
  const params = error.params as Record<string, unknown>;
  if (error.keyword === "additionalProperties") return `${path}${String(params.additionalProperty)}: unknown key`;
  if (error.keyword === "required") return `${String(params.missingProperty)}: missing`;
  const allowed = Array.isArray(params.allowedValues) ? ` (${params.allowedValues.join(", ")})` : "";
  return `${path || "settings"}: ${error.message}${allowed}`;
}

/**
 * Checks the settings of a process, from a file and flags, before anything starts.
 *
 * @example
 * const settings = Settings.check({ program: "store", cluster: "kiln" });
 * if (!settings.ok) console.error(settings.fault.paths);
 */
export const Settings = {
  /** Fault: invalid, with one description in `paths` for each error. */
  check(candidate: unknown): Result<Settings> {
    if (isValid(candidate)) return Fault.ok(candidate);
    const paths = (isValid.errors ?? []).filter((error) => error.keyword !== "if").map(describe);
    return {
      ok: false,
      fault: { tag: "invalid", step: "check settings", member: "settings", detail: "settings are wrong", paths },
    };
  },
};
