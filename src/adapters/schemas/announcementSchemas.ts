import { Announcement } from "../../node/endpointAnnouncements";
import { CommonSchemas } from "./commonSchemas";
import { schemaParser } from "./schemaParser";

const count = { type: "integer", minimum: 0, maximum: 1_000_000 };
const announcementSchema = {
  type: "object",
  additionalProperties: false,
  required: ["address", "pool", "district", "capacity"],
  properties: {
    id: CommonSchemas.text,
    address: CommonSchemas.address,
    pool: CommonSchemas.name,
    district: CommonSchemas.text,
    version: { type: "string", maxLength: 80, default: "" },
    capacity: { type: "integer", minimum: 1, maximum: 10_000 },
    active: { ...count, default: 0 },
    waiting: { ...count, default: 0 },
    instance: { type: "string", minLength: 1, maxLength: 80 },
    leaving: { type: "boolean" },
    warmLeftMs: CommonSchemas.nonNegative,
    sequence: { type: "integer", minimum: 0 },
  },
};

/** Parses the announcement of an endpoint. @example parseAnnouncement({ address, pool, district, capacity: 8 }) */
export const parseAnnouncement = schemaParser<Announcement>("announcement", announcementSchema);
