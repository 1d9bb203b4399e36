import { CommonSchemas } from "./commonSchemas";
import { schemaParser } from "./schemaParser";

/** An operator's order to recover the control group from one voter, which may lose committed changes. */
export interface Recovery {
  /** The id of the control group to recover. */
  group: string;
  /** The id of the control member that becomes the only voter. */
  voter: string;
}

const recoverySchema = {
  type: "object",
  additionalProperties: false,
  required: ["group", "voter", "acceptLoss"],
  properties: { group: CommonSchemas.text, voter: CommonSchemas.text, acceptLoss: { const: true } },
};

/** Parses a recovery order. @example parseRecovery({ group: "g1", voter: "control-1", acceptLoss: true }) */
export const parseRecovery = schemaParser<Recovery>("recovery", recoverySchema);
