import Ajv, { ErrorObject, ValidateFunction } from "ajv";
import { Fault, Result } from "../../common/fault";

const ajv = new Ajv({ allErrors: true, useDefaults: true, strict: false });

/** Parses a value from outside; defaults are filled in. A fault "invalid" names every wrong path. */
export type Parser<T> = (candidate: unknown) => Result<T>;

function describe(error: ErrorObject): string {
  const params = error.params as { additionalProperty?: string; allowedValues?: unknown[] };
  const unknownKey = error.keyword === "additionalProperties" ? `/${params.additionalProperty}` : "";
  const allowed = params.allowedValues ? ` (${params.allowedValues.join(", ")})` : "";
  return `${error.instancePath || "/"}${unknownKey}: ${error.message}${allowed}`;
}

/** A fault that names what is wrong with a resource, by path. @example invalidResource("manifest", ["/pools: must be object"]) */
export const invalidResource = (resource: string, paths: string[]): Result<never> => ({
  ok: false,
  fault: { tag: "invalid", step: `check ${resource}`, member: "operator", detail: `${resource} is wrong`, paths },
});

/**
 * A parser by JSON schema; T must be the type that the schema describes.
 *
 * @example
 * const parseRecovery = schemaParser<Recovery>("recovery", recoverySchema);
 */
export function schemaParser<T>(resource: string, schema: object): Parser<T> {
  const validate: ValidateFunction<T> = ajv.compile<T>(schema);
  return (candidate) => {
    if (validate(candidate)) return Fault.ok(candidate);
    // "if" only repeats the errors of its branch
    const errors = (validate.errors ?? []).filter((error) => error.keyword !== "if");
    return invalidResource(resource, [...new Set(errors.map(describe))]);
  };
}
