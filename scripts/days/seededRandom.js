/** Generator of pseudo-random numbers (mulberry32). A seed gives the same sequence on every machine. */
class SeededRandom {
  /** @param {number} seed an integer, of which the lowest 32 bits are used */
  constructor(seed) {
    this.state = seed >>> 0;
  }

  /** Returns a number in [0, 1). */
  next() {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), this.state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** Returns a number between `low` and `high`, rounded to `digits` decimals. */
  between(low, high, digits = 1) {
    return Number((low + (high - low) * this.next()).toFixed(digits));
  }

  /** Returns an integer from `low` to `high`, both inclusive. */
  integer(low, high) {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  /** Returns an element of the list with uniform probability. */
  pick(list) {
    return list[Math.floor(this.next() * list.length)];
  }

  /** Returns true with the given probability. */
  chance(probability) {
    return this.next() < probability;
  }
}

module.exports = { SeededRandom };
