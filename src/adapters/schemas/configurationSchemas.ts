import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { ConfigurationPatch } from "../../controlState/configurationPatch";
import { Configuration } from "../../controlState/configuration";
import { configurationProblems } from "../../controlState/configurationValidation";
import { CommonSchemas } from "./commonSchemas";
import { invalidResource, schemaParser } from "./schemaParser";

const split = {
  type: "array",
  minItems: 1,
  maxItems: 100,
  items: {
    type: "object",
    additionalProperties: false,
    required: ["pool", "weight"],
    properties: { pool: CommonSchemas.name, weight: CommonSchemas.nonNegative },
  },
};
const routeSchema = {
  type: "object",
  additionalProperties: false,
  required: ["kind", "pool", "path"],
  properties: {
    kind: { enum: ["lookup", "stream", "item"] },
    pool: CommonSchemas.name,
    path: { type: "string", pattern: "^/" },
    safe: { type: "boolean", default: false },
    deadlineMs: { type: "number", minimum: 1, maximum: Constants.deadlineMaxMs, default: Constants.defaultDeadlineMs },
    continues: { enum: ["exact", "no"], default: "no" },
    prefixBytes: { type: "integer", minimum: 0, maximum: 65_536, default: 1024 },
    host: { type: "string", minLength: 1, maxLength: 255 },
    prefix: { type: "string", pattern: "^/(.*/)?$", maxLength: 2000 },
    split,
    targetMs: CommonSchemas.positive,
    order: { type: "integer", minimum: 0, maximum: 1000 },
    rounds: { type: "integer", minimum: 1, maximum: 100 },
    pieceGapMs: CommonSchemas.positive,
    affinity: { type: "boolean" },
    completionMs: CommonSchemas.positive,
    giveUpMs: CommonSchemas.positive,
    maxWaitingTokens: CommonSchemas.nonNegative,
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
    warmMs: CommonSchemas.nonNegative,
    warmPerSecond: CommonSchemas.nonNegative,
    engine: {
      type: "object",
      additionalProperties: false,
      required: ["slots", "memoryTokens"],
      properties: { slots: CommonSchemas.positiveInteger, memoryTokens: CommonSchemas.positiveInteger },
    },
    origin: {},
  },
};
const limitsSchema = {
  type: "object",
  additionalProperties: false,
  properties: {
    headerBytes: CommonSchemas.positiveInteger,
    bodyBytes: CommonSchemas.positiveInteger,
    headerMs: CommonSchemas.positive,
    idleMs: CommonSchemas.positive,
  },
};
const nameList = { type: "array", items: CommonSchemas.name, maxItems: 10_000 };
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
      properties: { bindings: CommonSchemas.mapByName(routeSchema), pools: CommonSchemas.mapByName(poolSchema) },
    },
    remove: {
      type: "object",
      additionalProperties: false,
      default: {},
      properties: { bindings: nameList, pools: nameList },
    },
  },
};
/** The JSON schema of a complete configuration. */
export const configurationSchema = {
  type: "object",
  additionalProperties: false,
  required: ["bindings"],
  properties: {
    bindings: CommonSchemas.mapByName(routeSchema),
    pools: CommonSchemas.mapByName(poolSchema),
    limits: limitsSchema,
    origin: {},
    retention: {
      type: "object",
      additionalProperties: false,
      properties: {
        lotsMs: CommonSchemas.positiveInteger,
        requestsMs: CommonSchemas.positiveInteger,
        ledgerMs: CommonSchemas.positiveInteger,
      },
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

const RESOURCE = "manifest";
const parseSchema = schemaParser<Configuration>(RESOURCE, configurationSchema);
const parseVersionedSchema = schemaParser<Configuration & { version?: number }>(RESOURCE, versionedSchema);
const parsePatchSchema = schemaParser<ConfigurationPatch & { version?: number }>("manifest patch", patchSchema);

/** A complete configuration, and its version if the operator sets one. */
export interface ConfigurationChange {
  version?: number;
  doc: Configuration;
}
/** A change of some routes and pools, and the version of the result if the operator sets one. */
export interface ConfigurationPatchChange {
  version?: number;
  patch: ConfigurationPatch;
}

const versionField = (version: number | undefined): { version?: number } => (version === undefined ? {} : { version });

/**
 * Parses a configuration. No retention time may be shorter than the longest deadline of a route, since a retry within the
 * deadline must find the recorded response.
 *
 * @example
 * const configuration = parseConfiguration({ bindings: {} });
 */
export function parseConfiguration(candidate: unknown): Result<Configuration> {
  const parsed = parseSchema(candidate);
  if (!parsed.ok) return parsed;
  const problems = configurationProblems(parsed.value);
  if (problems.length > 0) return invalidResource(RESOURCE, problems);
  const longestMs = Math.max(0, ...Object.values(parsed.value.bindings).map((route) => route.deadlineMs));
  const tooShort = Object.entries(parsed.value.retention ?? {}).filter(([, retentionMs]) => retentionMs < longestMs);
  if (tooShort.length === 0) return parsed;
  const paths = tooShort.map(
    ([setting]) => `/retention/${setting}: must not be shorter than the longest deadline, ${longestMs}`,
  );
  return invalidResource(RESOURCE, paths);
}

/** Parses a configuration with an optional version. @example parseConfigurationChange({ version: 7, bindings: {} }) */
export function parseConfigurationChange(candidate: unknown): Result<ConfigurationChange> {
  const parsed = parseVersionedSchema(candidate);
  if (!parsed.ok) return parsed;
  const { version, ...doc } = parsed.value;
  const configuration = parseConfiguration(doc);
  return configuration.ok ? Fault.ok({ ...versionField(version), doc: configuration.value }) : configuration;
}

/**
 * Parses a patch. The patched configuration is validated when the patch is applied.
 *
 * @example
 * const patch = parseConfigurationPatch({ remove: { bindings: ["b"] } });
 */
export function parseConfigurationPatch(candidate: unknown): Result<ConfigurationPatchChange> {
  const parsed = parsePatchSchema(candidate);
  if (!parsed.ok) return parsed;
  const { version, ...patch } = parsed.value;
  return Fault.ok({ ...versionField(version), patch });
}
