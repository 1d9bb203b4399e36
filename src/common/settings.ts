import Ajv from "ajv";
import { Fault, Result } from "./fault";

export type Settings = {
  program: "ingress" | "agent" | "store" | "control";
  cluster: string;
  district: string;
  address: string; // TCP and UDP, between the processes; what the others are told
  bind?: string; // where to listen, if not at that address
  http: string; // callers and operators
  seeds?: string[]; // all but ingress, which has its agent
  data?: string; // data folder: store and control
  agent?: string; // ingress: its agent's address; without it, and with seeds, the agent is a branch of the ingress itself
  founders?: string[]; // control: every founder's address, our own among them; none: never founds a group
  name?: string; // the machine's name, by which operators know it
  losses?: number; // machines with a disk that may be lost at once: 2 x losses + 1 voters, losses + 2 copies
  log?: "debug" | "info" | "warn" | "error";
};
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
const check = new Ajv({ allErrors: true, strict: false }).compile(schema);

/**
 * The settings of a process, from a file and flags, checked before anything starts.
 *
 * @example
 * const settings = Settings.check({ program: "store", cluster: "kiln" });
 * if (!settings.ok) console.error(settings.fault.paths);
 */
export const Settings = {
  check(candidate: unknown): Result<Settings> {
    if (check(candidate)) return Fault.ok(candidate as Settings);
    const paths = (check.errors ?? [])
      .filter((error) => error.keyword !== "if")
      .map((error) => {
        const where = error.instancePath.slice(1).replace(/\//g, ".");
        if (error.keyword === "additionalProperties") return `${where}${error.params.additionalProperty}: unknown key`;
        if (error.keyword === "required") return `${error.params.missingProperty}: missing`;
        const allowed = error.params.allowedValues ? ` (${error.params.allowedValues.join(", ")})` : "";
        return `${where || "settings"}: ${error.message}${allowed}`;
      });
    return {
      ok: false,
      fault: { tag: "invalid", step: "check settings", member: "settings", detail: "settings are wrong", paths },
    };
  },
};
