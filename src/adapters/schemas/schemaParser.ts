import Ajv, { ErrorObject, ValidateFunction } from "ajv";
import { Fault, Result } from "../../common/fault";

const ajv = new Ajv({ allErrors: true, useDefaults: true, strict: false });

/** Parses untrusted input and fills in defaults. The fault "invalid" names the path of every error. */
export type Parser<T> = (candidate: unknown) => Result<T>;

function describe(error: ErrorObject): string {
  const params = error.params as { additionalProperty?: string; allowedValues?: unknown[] };
  const unknownKey = error.keyword === "additionalProperties" ? `/${params.additionalProperty}` : "";
  const allowed = params.allowedValues ? ` (${params.allowedValues.join(", ")})` : "";
  return `${error.instancePath || "/"}${unknownKey}: ${error.message}${allowed}`;
}

/** Returns a fault that lists the errors in a resource by path. @example invalidResource("manifest", ["/pools: must be object"]) */
export const invalidResource = (resource: string, paths: string[]): Result<never> => ({
  ok: false,
  fault: { tag: "invalid", step: `check ${resource}`, member: "operator", detail: `${resource} is wrong`, paths },
});

/**
 * Makes a parser from a JSON schema; `T` must be the type that the schema describes.
 *
 * @example
 * const parseRecovery = schemaParser<Recovery>("recovery", recoverySchema);
 */
export function schemaParser<T>(resource: string, schema: object): Parser<T> {
  const validate: ValidateFunction<T> = ajv.compile<T>(schema);
  return (candidate) => {
    if (validate(candidate)) return Fault.ok(candidate);
    // An "if" error only repeats the errors of its branch.
    const errors = (validate.errors ?? []).filter((error) => error.keyword !== "if");
    return invalidResource(resource, [...new Set(errors.map(describe))]);
  };
}
