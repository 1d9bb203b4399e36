import { Fault, Result } from "../../common/fault";
import { PlannedOperation } from "../../controlState/calendarEntry";
import { CommonSchemas } from "./commonSchemas";
import { configurationSchema, parseConfiguration } from "./configurationSchemas";
import { invalidResource, schemaParser } from "./schemaParser";

/** Makes the schema of one kind of planned operation. */
const operationOfKind = (kind: string, properties: Record<string, unknown>, required: string[]): unknown => ({
  if: { properties: { kind: { const: kind } }, required: ["kind"] },
  then: { additionalProperties: false, required: ["kind", ...required], properties: { kind: {}, ...properties } },
});
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
        operationOfKind(
          "release",
          {
            pool: CommonSchemas.name,
            version: CommonSchemas.text,
            overMs: { type: "integer", minimum: 0, maximum: 86_400_000, default: 0 },
          },
          ["pool", "version"],
        ),
        operationOfKind("rollback", { pool: CommonSchemas.name }, ["pool"]),
        operationOfKind("drain", { district: CommonSchemas.text, until: { type: "number" } }, ["district"]),
        operationOfKind("undrain", { district: CommonSchemas.text }, ["district"]),
        operationOfKind("retire", { store: CommonSchemas.text }, ["store"]),
        operationOfKind("manifest", { ifVersion: { type: "integer", minimum: 0 }, doc: configurationSchema }, [
          "ifVersion",
          "doc",
        ]),
      ],
    },
  },
};

const RESOURCE = "calendar entry";
const parseSchema = schemaParser<{ due: string; move: PlannedOperation }>(RESOURCE, calendarSchema);

/** A planned operation and its due time. */
export interface ParsedCalendarEntry {
  /** The due time in wall-clock ms. */
  due: number;
  move: PlannedOperation;
}

/**
 * Parses a calendar entry. The due time is a date and time, or "now" for the time `now`.
 *
 * @example
 * const entry = parseCalendarEntry({ due: "now", move: { kind: "drain", district: "north" } }, env.wallClockMs());
 */
export function parseCalendarEntry(candidate: unknown, now: number): Result<ParsedCalendarEntry> {
  const parsed = parseSchema(candidate);
  if (!parsed.ok) return parsed;
  const { due: dueText, move } = parsed.value;
  const configuration = move.kind === "manifest" ? parseConfiguration(move.doc) : parsed;
  if (!configuration.ok) return configuration;
  const due = dueText === "now" ? now : Date.parse(dueText);
  if (!Number.isFinite(due)) return invalidResource(RESOURCE, ['/due: must be a date and time, or "now"']);
  return Fault.ok({ due, move });
}
