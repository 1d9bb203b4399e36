/**
 * Shuffles a list in place (Fisher and Yates) and returns it.
 * @param random returns a number from 0 to less than 1; it is called once for each item but the first
 */
export function shuffle<T>(list: T[], random: () => number): T[] {
  for (let last = list.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1));
    [list[last], list[other]] = [list[other], list[last]];
  }
  return list;
}
