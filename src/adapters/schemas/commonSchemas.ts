/** JSON schemas that several resources share. */
export const CommonSchemas = {
  /** The name of a route, a pool or a version. */
  name: { type: "string", pattern: "^[A-Za-z0-9._-]{1,80}$" },
  text: { type: "string", minLength: 1, maxLength: 80 },
  /** HOST:PORT with an IPv4 address as the host. */
  address: { type: "string", pattern: "^[0-9.]+:[0-9]{1,5}$" },
  positive: { type: "number", exclusiveMinimum: 0 },
  nonNegative: { type: "number", minimum: 0 },
  positiveInteger: { type: "integer", minimum: 1 },

  /** Makes the schema of an object whose keys are names. */
  mapByName: (item: unknown): unknown => ({
    type: "object",
    propertyNames: { pattern: CommonSchemas.name.pattern },
    additionalProperties: item,
  }),
};
