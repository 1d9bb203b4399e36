/** Parses a list of seeds. @example seedsFrom("1-3,7"); // [1, 2, 3, 7] */
export function seedsFrom(text: string): number[] {
  return text.split(",").flatMap((part) => {
    const [first, last = first] = part.split("-").map(Number);
    return Array.from({ length: last - first + 1 }, (_each, index) => first + index);
  });
}
