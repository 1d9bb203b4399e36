/** Type guards that the checks of RPC bodies are made of. */
import { Constants } from "../common/constants";
import { Stamp } from "../common/stamp";

/** Fields of a JSON object, not yet checked. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Whether a value is a JSON object; an array is none. */
export const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/** Whether a value is a text, possibly empty. */
export const isString = (value: unknown): value is string => typeof value === "string";

/** Whether a value is an id, a key or a name: text that isn't empty. */
export const isNonEmptyString = (value: unknown): value is string => typeof value === "string" && value !== "";

/** Whether a value is a finite number. */
export const isFiniteNumber = (value: unknown): value is number => Number.isFinite(value);

/** Whether a value is an integer. */
export const isInteger = (value: unknown): value is number => Number.isSafeInteger(value);

/** Whether a value is a count, an index or a position: an integer that isn't negative. */
export const isNonNegativeInteger = (value: unknown): value is number => isInteger(value) && value >= 0;

/** Whether a value is true or false. */
export const isBoolean = (value: unknown): value is boolean => typeof value === "boolean";

/** Whether a value is missing or passes a check. */
export const isOptional = (value: unknown, isType: (value: unknown) => boolean): boolean =>
  value === undefined || isType(value);

/** Whether a value is a list whose elements all pass a check. */
export const isArrayOf = <T>(value: unknown, isElement: (element: unknown) => element is T): value is T[] =>
  Array.isArray(value) && value.every(isElement);

/** Whether a value is the index of one of the cluster's shards. */
export const isShardIndex = (value: unknown): value is number =>
  isNonNegativeInteger(value) && value < Constants.shardCount;

/** Whether a value is a stamp. */
export const isStamp = (value: unknown): value is Stamp =>
  isJsonObject(value) && isFiniteNumber(value.time) && isString(value.node) && isNonNegativeInteger(value.seq);
