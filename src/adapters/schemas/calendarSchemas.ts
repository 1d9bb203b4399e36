import { Fault, Result } from "../../common/fault";
import { PlannedOperation } from "../../controlState/calendarEntry";
import { CommonSchemas } from "./commonSchemas";
import { configurationSchema, parseConfiguration } from "./configurationSchemas";
import { invalidResource, schemaParser } from "./schemaParser";

/** The properties of one kind of move. */
const moveOfKind = (kind: string, properties: Record<string, unknown>, required: string[]): unknown => ({
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
        moveOfKind(
          "release",
          {
            pool: CommonSchemas.name,
            version: CommonSchemas.text,
            overMs: { type: "integer", minimum: 0, maximum: 86_400_000, default: 0 },
          },
          ["pool", "version"],
        ),
        moveOfKind("rollback", { pool: CommonSchemas.name }, ["pool"]),
        moveOfKind("drain", { district: CommonSchemas.text, until: { type: "number" } }, ["district"]),
        moveOfKind("undrain", { district: CommonSchemas.text }, ["district"]),
        moveOfKind("retire", { store: CommonSchemas.text }, ["store"]),
        moveOfKind("manifest", { ifVersion: { type: "integer", minimum: 0 }, doc: configurationSchema }, [
          "ifVersion",
          "doc",
        ]),
      ],
    },
  },
};

const resource = "calendar entry";
const parseSchema = schemaParser<{ due: string; move: PlannedOperation }>(resource, calendarSchema);

/** A change that is due at a time. */
export interface ParsedCalendarEntry {
  /** Wall-clock ms. */
  due: number;
  move: PlannedOperation;
}

/**
 * Parses a calendar entry; its due time is a date and time, or "now" for the time given.
 *
 * @example
 * const entry = parseCalendarEntry({ due: "now", move: { kind: "drain", district: "north" } }, env.wall());
 */
export function parseCalendarEntry(candidate: unknown, now: number): Result<ParsedCalendarEntry> {
  const parsed = parseSchema(candidate);
  if (!parsed.ok) return parsed;
  const { due: dueText, move } = parsed.value;
  const configuration = move.kind === "manifest" ? parseConfiguration(move.doc) : parsed;
  if (!configuration.ok) return configuration;
  const due = dueText === "now" ? now : Date.parse(dueText);
  if (!Number.isFinite(due)) return invalidResource(resource, ['/due: must be a date and time, or "now"']);
  return Fault.ok({ due, move });
}
