/** Type guards for the fields of RPC bodies. */
import { Constants } from "../common/constants";
import { Stamp } from "../common/stamp";

/** A JSON object whose fields have not been checked yet. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Returns whether a value is a JSON object; arrays do not count as objects. */
export const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === "object" && value !== null && !Array.isArray(value);

export const isString = (value: unknown): value is string => typeof value === "string";

/** Checks ids, keys and names. */
export const isNonEmptyString = (value: unknown): value is string => typeof value === "string" && value !== "";

export const isFiniteNumber = (value: unknown): value is number => Number.isFinite(value);

/** Returns whether a value is an integer that a double represents exactly. */
export const isInteger = (value: unknown): value is number => Number.isSafeInteger(value);

/** Checks counts, indexes and positions. */
export const isNonNegativeInteger = (value: unknown): value is number => isInteger(value) && value >= 0;

export const isBoolean = (value: unknown): value is boolean => typeof value === "boolean";

/** Returns whether a value is undefined or passes a check. */
export const isOptional = (value: unknown, isType: (value: unknown) => boolean): boolean =>
  value === undefined || isType(value);

/** Returns whether a value is an array whose elements all pass a check. */
export const isArrayOf = <T>(value: unknown, isElement: (element: unknown) => element is T): value is T[] =>
  Array.isArray(value) && value.every(isElement);

/** Returns whether a value is the index of one of the cluster's shards. */
export const isShardIndex = (value: unknown): value is number =>
  isNonNegativeInteger(value) && value < Constants.shardCount;

export const isStamp = (value: unknown): value is Stamp =>
  isJsonObject(value) && isFiniteNumber(value.time) && isString(value.node) && isNonNegativeInteger(value.seq);
