import { PolicyRule } from "../../controlState/policy";
import { CommonSchemas } from "./commonSchemas";
import { schemaParser } from "./schemaParser";

const zoneNames = { type: "array", items: { type: "string", minLength: 1, maxLength: 80 }, uniqueItems: true };
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
          binding: CommonSchemas.name,
          kind: { enum: ["lookup", "stream", "item"] },
          caller: { type: "string", maxLength: 120 },
        },
      },
      order: { type: "integer", minimum: 0, maximum: 1000 },
      land: {
        type: "object",
        additionalProperties: false,
        minProperties: 1,
        properties: { districts: zoneNames, avoid: zoneNames },
      },
      limit: { type: "integer", minimum: 1, maximum: 100_000 },
    },
  },
};

/** Parses policy rules in order of precedence. @example parsePolicies([{ match: { kind: "lookup" }, order: 5 }]) */
export const parsePolicies = schemaParser<PolicyRule[]>("policies", policiesSchema);
