import Ajv, { ValidateFunction } from "ajv";
import { Constants } from "../common/constants";
import { PlannedOperation } from "../controlState/calendarEntry";
import { Configuration } from "../controlState/configuration";
import { ConfigurationPatch } from "../controlState/configurationPatch";
import { configurationProblems } from "../controlState/configurationValidation";
import { PolicyRule } from "../controlState/policy";
import { Fault, Result } from "../common/fault";
import { Announcement } from "../node/endpointAnnouncements";
import type { SubmittedItem } from "../ingress/batchSubmission";

const name = { type: "string", pattern: "^[A-Za-z0-9._-]{1,80}$" };
const age = { type: "integer", minimum: 1 };
const positive = { type: "number", exclusiveMinimum: 0 };
const atLeast0 = { type: "number", minimum: 0 };
const split = {
  type: "array",
  minItems: 1,
  maxItems: 100,
  items: {
    type: "object",
    additionalProperties: false,
    required: ["pool", "weight"],
    properties: { pool: name, weight: atLeast0 },
  },
};
const routeSchema = {
  type: "object",
  additionalProperties: false,
  required: ["kind", "pool", "path"],
  properties: {
    kind: { enum: ["lookup", "stream", "item"] },
    pool: name,
    path: { type: "string", pattern: "^/" },
    safe: { type: "boolean", default: false },
    deadlineMs: { type: "number", minimum: 1, maximum: Constants.deadlineMaxMs, default: Constants.requestDeadlineMs },
    continues: { enum: ["exact", "no"], default: "no" },
    prefixBytes: { type: "integer", minimum: 0, maximum: 65_536, default: 1024 },
    host: { type: "string", minLength: 1, maxLength: 255 },
    prefix: { type: "string", pattern: "^/(.*/)?$", maxLength: 2000 },
    split,
    targetMs: positive,
    order: { type: "integer", minimum: 0, maximum: 1000 },
    rounds: { type: "integer", minimum: 1, maximum: 100 },
    pieceGapMs: positive,
    affinity: { type: "boolean" },
    completionMs: positive,
    giveUpMs: positive,
    maxWaitingTokens: atLeast0,
    origin: {},
  },
  dependentRequired: { host: ["prefix"], prefix: ["host"] },
};
const poolSchema = {
  type: "object",
  additionalProperties: false,
  properties: {
    probePath: { type: "string", pattern: "^/" },
    connections: { type: "integer", minimum: 1 },
    warmMs: atLeast0,
    warmPerSecond: atLeast0,
    engine: {
      type: "object",
      additionalProperties: false,
      required: ["slots", "memoryTokens"],
      properties: { slots: age, memoryTokens: age },
    },
    origin: {},
  },
};
const limitsSchema = {
  type: "object",
  additionalProperties: false,
  properties: { headerBytes: age, bodyBytes: age, headerMs: positive, idleMs: positive },
};
const byName = (item: unknown): unknown => ({
  type: "object",
  propertyNames: { pattern: name.pattern },
  additionalProperties: item,
});
const nameList = { type: "array", items: name, maxItems: 10_000 };
const version = { type: "integer", minimum: 1 };
const patchSchema = {
  type: "object",
  additionalProperties: false,
  properties: {
    version,
    limits: limitsSchema,
    upsert: {
      type: "object",
      additionalProperties: false,
      default: {},
      properties: { bindings: byName(routeSchema), pools: byName(poolSchema) },
    },
    remove: {
      type: "object",
      additionalProperties: false,
      default: {},
      properties: { bindings: nameList, pools: nameList },
    },
  },
};
const configurationSchema = {
  type: "object",
  additionalProperties: false,
  required: ["bindings"],
  properties: {
    bindings: byName(routeSchema),
    pools: byName(poolSchema),
    limits: limitsSchema,
    origin: {},
    retention: {
      type: "object",
      additionalProperties: false,
      properties: { lotsMs: age, requestsMs: age, ledgerMs: age },
    },
    clock: {
      type: "object",
      additionalProperties: false,
      required: ["deltaMs", "epsilonMs", "bigDeltaMs"],
      properties: {
        deltaMs: { type: "number", exclusiveMinimum: 0, maximum: 1000 },
        epsilonMs: { type: "number", exclusiveMinimum: 0, maximum: 1000 },
        bigDeltaMs: { type: "number", exclusiveMinimum: 0, maximum: 5000 },
      },
    },
  },
};
const versionedSchema = { ...configurationSchema, properties: { version, ...configurationSchema.properties } };
const names = { type: "array", items: { type: "string", minLength: 1, maxLength: 80 }, uniqueItems: true };
const policiesSchema = {
  type: "array",
  maxItems: 200,
  items: {
    type: "object",
    additionalProperties: false,
    required: ["match"],
    anyOf: [{ required: ["order"] }, { required: ["land"] }, { required: ["limit"] }],
    properties: {
      match: {
        type: "object",
        additionalProperties: false,
        properties: {
          binding: name,
          kind: { enum: ["lookup", "stream", "item"] },
          caller: { type: "string", maxLength: 120 },
        },
      },
      order: { type: "integer", minimum: 0, maximum: 1000 },
      land: {
        type: "object",
        additionalProperties: false,
        minProperties: 1,
        properties: { districts: names, avoid: names },
      },
      limit: { type: "integer", minimum: 1, maximum: 100_000 },
    },
  },
};
const move = (kind: string, properties: Record<string, unknown>, required: string[]): unknown => ({
  if: { properties: { kind: { const: kind } }, required: ["kind"] },
  then: { additionalProperties: false, required: ["kind", ...required], properties: { kind: {}, ...properties } },
});
const text = { type: "string", minLength: 1, maxLength: 80 };
const calendarSchema = {
  type: "object",
  additionalProperties: false,
  required: ["due", "move"],
  properties: {
    due: { type: "string" },
    move: {
      type: "object",
      required: ["kind"],
      properties: { kind: { enum: ["release", "rollback", "drain", "undrain", "retire", "manifest"] } },
      allOf: [
        move(
          "release",
          { pool: name, version: text, overMs: { type: "integer", minimum: 0, maximum: 86_400_000, default: 0 } },
          ["pool", "version"],
        ),
        move("rollback", { pool: name }, ["pool"]),
        move("drain", { district: text, until: { type: "number" } }, ["district"]),
        move("undrain", { district: text }, ["district"]),
        move("retire", { store: text }, ["store"]),
        move("manifest", { ifVersion: { type: "integer", minimum: 0 }, doc: configurationSchema }, [
          "ifVersion",
          "doc",
        ]),
      ],
    },
  },
};
const count = { type: "integer", minimum: 0, maximum: 1_000_000 };
const announcementSchema = {
  type: "object",
  additionalProperties: false,
  required: ["address", "pool", "district", "capacity"],
  properties: {
    id: text,
    address: { type: "string", pattern: "^[0-9.]+:[0-9]{1,5}$" },
    pool: name,
    district: text,
    version: { type: "string", maxLength: 80, default: "" },
    capacity: { type: "integer", minimum: 1, maximum: 10_000 },
    active: { ...count, default: 0 },
    waiting: { ...count, default: 0 },
    instance: { type: "string", minLength: 1, maxLength: 80 },
    leaving: { type: "boolean" },
    warmLeftMs: atLeast0,
    sequence: { type: "integer", minimum: 0 },
  },
};
const jobSchema = {
  type: "object",
  additionalProperties: false,
  required: ["binding"],
  oneOf: [{ required: ["items"] }, { required: ["requests"] }],
  properties: {
    id: { type: "string", pattern: "^[A-Za-z0-9._-]{1,120}$" },
    binding: name,
    items: { type: "array", minItems: 1, maxItems: Constants.jobItemsMax },
    requests: {
      type: "array",
      minItems: 1,
      maxItems: Constants.jobItemsMax,
      items: {
        type: "object",
        additionalProperties: false,
        required: ["id", "target"],
        properties: {
          id: { type: "string", minLength: 1, maxLength: 120 },
          target: { type: "string", pattern: "^/" },
          headers: { type: "object", default: {}, additionalProperties: { type: "string", maxLength: 8192 } },
          body: { type: "string", default: "" },
          tokens: { type: "integer", minimum: 0, maximum: 100_000_000, default: 0 },
        },
      },
    },
  },
};
const recoverySchema = {
  type: "object",
  additionalProperties: false,
  required: ["group", "voter", "acceptLoss"],
  properties: { group: text, voter: text, acceptLoss: { const: true } },
};
const ajv = new Ajv({ allErrors: true, useDefaults: true, strict: false });
const compiled = {
  manifest: ajv.compile(configurationSchema),
  versioned: ajv.compile(versionedSchema),
  patch: ajv.compile(patchSchema),
  policies: ajv.compile(policiesSchema),
  calendar: ajv.compile(calendarSchema),
  announcement: ajv.compile(announcementSchema),
  lot: ajv.compile(jobSchema),
  recovery: ajv.compile(recoverySchema),
};
function run<T>(check: ValidateFunction, what: string, candidate: unknown): Result<T> {
  if (check(candidate)) return Fault.ok(candidate as T);
  const paths = (check.errors ?? [])
    .filter((error) => error.keyword !== "if")
    .map(
      (error) =>
        `${error.instancePath || "/"}${error.keyword === "additionalProperties" ? `/${error.params.additionalProperty}` : ""}: ${error.message}${error.params.allowedValues ? ` (${error.params.allowedValues.join(", ")})` : ""}`,
    );
  return {
    ok: false,
    fault: {
      tag: "invalid",
      step: `check ${what}`,
      member: "operator",
      detail: `${what} is wrong`,
      paths: [...new Set(paths)],
    },
  };
}

const configurationWrong = (paths: string[]): Result<never> => ({
  ok: false,
  fault: { tag: "invalid", step: "check manifest", member: "operator", detail: "manifest is wrong", paths },
});

/**
 * Checks of what comes from outside; defaults are filled in.
 *
 * @example
 * const checked = OperatorSchemas.manifest({ bindings: {} });
 * if (!checked.ok) Http.problem(incoming, checked.fault);
 */
export const OperatorSchemas = {
  /** Retention may not be shorter than the longest deadline: a repeat within it must find its reply. @example OperatorSchemas.manifest(doc) */
  configuration(candidate: unknown): Result<Configuration> {
    const checked = run<Configuration>(compiled.manifest, "manifest", candidate);
    if (!checked.ok) return checked;
    const faults = configurationProblems(checked.value);
    if (faults.length > 0) return configurationWrong(faults);
    const longest = Math.max(0, ...Object.values(checked.value.bindings).map((route) => route.deadlineMs));
    const short = Object.entries(checked.value.retention ?? {}).filter(([, keepMs]) => keepMs < longest);
    if (short.length === 0) return checked;
    return configurationWrong(
      short.map(([setting]) => `/retention/${setting}: must not be shorter than the longest deadline, ${longest}`),
    );
  },
  /** A whole manifest as it is put, with the operator's own version if one is given. @example OperatorSchemas.manifestChange({ version: 7, bindings }) */
  configurationChange(candidate: unknown): Result<{ version?: number; doc: Configuration }> {
    const checked = run<Configuration & { version?: number }>(compiled.versioned, "manifest", candidate);
    if (!checked.ok) return checked;
    const { version: given, ...doc } = checked.value;
    const whole = OperatorSchemas.configuration(doc);
    return whole.ok ? Fault.ok({ ...(given === undefined ? {} : { version: given }), doc: whole.value }) : whole;
  },
  /** A change by item; what results is checked where it is applied. @example OperatorSchemas.manifestPatch({ remove: { bindings: ["b"] } }) */
  configurationPatch(candidate: unknown): Result<{ version?: number; patch: ConfigurationPatch }> {
    const checked = run<ConfigurationPatch & { version?: number }>(compiled.patch, "manifest patch", candidate);
    if (!checked.ok) return checked;
    const { version: given, ...patch } = checked.value;
    return Fault.ok({ ...(given === undefined ? {} : { version: given }), patch });
  },
  policies: (candidate: unknown): Result<PolicyRule[]> => run(compiled.policies, "policies", candidate),
  /** Due becomes milliseconds; "now" is now. @example OperatorSchemas.calendar({ due: "now", move }, Date.now()) */
  calendarEntry(candidate: unknown, now: number): Result<{ due: number; move: PlannedOperation }> {
    const checked = run<{ due: string; move: PlannedOperation }>(compiled.calendar, "calendar entry", candidate);
    if (!checked.ok) return checked;
    const { move: planned } = checked.value;
    const configuration = planned.kind === "manifest" ? OperatorSchemas.configuration(planned.doc) : checked;
    if (!configuration.ok) return configuration;
    const due = checked.value.due === "now" ? now : Date.parse(checked.value.due);
    if (!Number.isFinite(due))
      return {
        ok: false,
        fault: {
          tag: "invalid",
          step: "check calendar entry",
          member: "operator",
          detail: "calendar entry is wrong",
          paths: ['/due: must be a date and time, or "now"'],
        },
      };
    return Fault.ok({ due, move: checked.value.move });
  },
  announcement: (candidate: unknown): Result<Announcement> => run(compiled.announcement, "announcement", candidate),
  recovery: (candidate: unknown): Result<{ group: string; voter: string }> =>
    run(compiled.recovery, "recovery", candidate),
  job: (candidate: unknown): Result<{ id?: string; binding: string; items?: unknown[]; requests?: SubmittedItem[] }> =>
    run(compiled.lot, "lot", candidate),
};
