import Ajv, { ErrorObject } from "ajv";
import { Fault, Result } from "./fault";

/** Settings of a process, under the names of the settings file. */
export interface Settings {
  program: "ingress" | "agent" | "store" | "control";
  /** Name of the cluster; members of another are ignored. */
  cluster: string;
  /** Failure domain (region and zone) of the process. */
  district: string;
  /** Where other members reach it, over TCP and UDP. */
  address: string;
  /** Where it listens, if not at `address`. */
  bind?: string;
  /** Where it serves HTTP to callers and operators. */
  http: string;
  /** Addresses of members to join by; all programs but an ingress with an agent. */
  seeds?: string[];
  /** Data folder; store and control. */
  data?: string;
  /** Ingress: address of its agent. Without it, and with seeds, the agent runs within the ingress. */
  agent?: string;
  /** Control: addresses of all that bootstrap the consensus group, its own among them; empty: it never does. */
  founders?: string[];
  /** Name of the machine, by which operators know it. */
  name?: string;
  /** Machines with a disk that may be lost at once: 2 × losses + 1 voters, losses + 2 replicas of each shard. */
  losses?: number;
  /** The lowest level that is logged. */
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

/** One line on what is wrong and where. */
function describe(error: ErrorObject): string {
  const path = error.instancePath.slice(1).replace(/\//g, ".");
  const params = error.params as Record<string, unknown>;
  if (error.keyword === "additionalProperties") return `${path}${String(params.additionalProperty)}: unknown key`;
  if (error.keyword === "required") return `${String(params.missingProperty)}: missing`;
  const allowed = Array.isArray(params.allowedValues) ? ` (${params.allowedValues.join(", ")})` : "";
  return `${path || "settings"}: ${error.message}${allowed}`;
}

/**
 * The settings of a process, from a file and flags, checked before anything starts.
 *
 * @example
 * const settings = Settings.check({ program: "store", cluster: "kiln" });
 * if (!settings.ok) console.error(settings.fault.paths);
 */
export const Settings = {
  /** Fault: invalid, with one path for each error. */
  check(candidate: unknown): Result<Settings> {
    if (isValid(candidate)) return Fault.ok(candidate);
    const paths = (isValid.errors ?? []).filter((error) => error.keyword !== "if").map(describe);
    return {
      ok: false,
      fault: { tag: "invalid", step: "check settings", member: "settings", detail: "settings are wrong", paths },
    };
  },
};
