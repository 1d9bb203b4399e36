import { Constants } from "../../common/constants";
import { CommonSchemas } from "../schemas/commonSchemas";
import { schemaParser } from "../schemas/schemaParser";
import type { SubmittedItem } from "./callerOperations";

/** The body of a job submission, with either items or requests. */
export interface JobRequest {
  id?: string;
  /** The name of the route. */
  binding: string;
  /** Items that are JSON values. */
  items?: unknown[];
  /** Items that are complete requests. */
  requests?: SubmittedItem[];
}

const jobSchema = {
  type: "object",
  additionalProperties: false,
  required: ["binding"],
  oneOf: [{ required: ["items"] }, { required: ["requests"] }],
  properties: {
    id: { type: "string", pattern: "^[A-Za-z0-9._-]{1,120}$" },
    binding: CommonSchemas.name,
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

/** @example parseJob({ binding: "audit", items: [{ n: 1 }] }) */
export const parseJob = schemaParser<JobRequest>("lot", jobSchema);
