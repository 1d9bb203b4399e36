/** Type guards that the checks of RPC bodies are made of. */
import { Constants } from "../common/constants";
import { Stamp } from "../common/stamp";

/** Fields of a JSON object, not yet checked. */
export type Fields = Readonly<Record<string, unknown>>;

/** Whether a value is a JSON object; an array is none. */
export const isObject = (value: unknown): value is Fields =>
  typeof value === "object" && value !== null && !Array.isArray(value);

/** Whether a value is a text, possibly empty. */
export const isText = (value: unknown): value is string => typeof value === "string";

/** Whether a value is an id, a key or a name: text that isn't empty. */
export const isName = (value: unknown): value is string => typeof value === "string" && value !== "";

/** Whether a value is a finite number. */
export const isNumber = (value: unknown): value is number => Number.isFinite(value);

/** Whether a value is an integer. */
export const isInteger = (value: unknown): value is number => Number.isSafeInteger(value);

/** Whether a value is a count, an index or a position: an integer that isn't negative. */
export const isCount = (value: unknown): value is number => isInteger(value) && value >= 0;

/** Whether a value is true or false. */
export const isFlag = (value: unknown): value is boolean => typeof value === "boolean";

/** Whether a value is missing or passes a check. */
export const isOptional = (value: unknown, isType: (value: unknown) => boolean): boolean =>
  value === undefined || isType(value);

/** Whether a value is a list whose elements all pass a check. */
export const isListOf = <T>(value: unknown, isElement: (element: unknown) => element is T): value is T[] =>
  Array.isArray(value) && value.every(isElement);

/** Whether a value is the index of one of the cluster's shards. */
export const isShardIndex = (value: unknown): value is number => isCount(value) && value < Constants.shardCount;

/** Whether a value is a stamp. */
export const isStamp = (value: unknown): value is Stamp =>
  isObject(value) && isNumber(value.time) && isText(value.node) && isCount(value.seq);
