/**
 * From the digest of an id to a number, for millions of ids: open addressing in flat arrays, 24 bytes a place.
 *
 * @example
 * const table = new IdTable();
 * table.set(digest, bodyDigest, 17);
 * table.get(digest)?.value // 17
 */
export class IdTable {
  private places = 1024;
  private keys = new Float64Array(this.places);
  private bodies = new Float64Array(this.places);
  private values = new Float64Array(this.places);
  size = 0;
  private at(key: number): number {
    let at = key % this.places;
    while (this.keys[at] !== 0 && this.keys[at] !== key) at = (at + 1) % this.places;
    return at;
  }
  /** A later one under the same digest takes its place. @example table.set(digest, body, 17) */
  set(key: number, body: number, value: number): void {
    if ((this.size + 1) * 5 > this.places * 3) this.grow();
    const at = this.at(key || 1);
    if (this.keys[at] === 0) this.size += 1;
    this.keys[at] = key || 1; // 0 means an empty place
    this.bodies[at] = body;
    this.values[at] = value;
  }
  /** @example table.get(digest) */
  get(key: number): { body: number; value: number } | undefined {
    const at = this.at(key || 1);
    return this.keys[at] === 0 ? undefined : { body: this.bodies[at], value: this.values[at] };
  }
  private grow(): void {
    const { keys, bodies, values } = this;
    this.places *= 2;
    this.keys = new Float64Array(this.places);
    this.bodies = new Float64Array(this.places);
    this.values = new Float64Array(this.places);
    this.size = 0;
    keys.forEach((key, at) => key !== 0 && this.set(key, bodies[at], values[at]));
  }
}
