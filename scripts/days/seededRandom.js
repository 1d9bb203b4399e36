/** Pseudo-random numbers from a seed (mulberry32): the same sequence on every machine. */
class SeededRandom {
  /** @param {number} seed a whole number; its lowest 32 bits count */
  constructor(seed) {
    this.state = seed >>> 0;
  }

  /** A number from 0 up to, but not including, 1. */
  next() {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** A number between `low` and `high`, rounded to `digits` decimals. */
  between(low, high, digits = 1) {
    return Number((low + (high - low) * this.next()).toFixed(digits));
  }

  /** A whole number from `low` to `high`, both included. */
  integer(low, high) {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  /** One element of the list, each as likely as the others. */
  pick(list) {
    return list[Math.floor(this.next() * list.length)];
  }

  /** True with the given probability. */
  chance(probability) {
    return this.next() < probability;
  }
}

module.exports = { SeededRandom };
