const INITIAL_SLOTS = 1024;
/** A digest of 0 is stored as 1, since 0 marks an empty slot. */
const EMPTY = 0;

/**
 * Hash table that maps the digest of an id to the digest of a body and a number. It is compact enough for millions of
 * ids: open addressing with linear probing in typed arrays, 24 bytes per slot, at most 60 % full.
 *
 * @example
 * const table = new DigestTable();
 * table.set(digest, bodyDigest, 17);
 * table.get(digest)?.value // 17
 */
export class DigestTable {
  private slots = INITIAL_SLOTS;
  private keys = new Float64Array(this.slots);
  private bodies = new Float64Array(this.slots);
  private values = new Float64Array(this.slots);
  size = 0;

  /** Sets the entry of a digest, and replaces an earlier one. */
  set(digest: number, body: number, value: number): void {
    if ((this.size + 1) * 5 > this.slots * 3) this.grow();
    const slot = this.slotOf(digest || 1);
    if (this.keys[slot] === EMPTY) this.size += 1;
    this.keys[slot] = digest || 1;
    this.bodies[slot] = body;
    this.values[slot] = value;
  }
  /** Returns the entry of a digest; undefined if there is none. */
  get(digest: number): { body: number; value: number } | undefined {
    const slot = this.slotOf(digest || 1);
    return this.keys[slot] === EMPTY ? undefined : { body: this.bodies[slot], value: this.values[slot] };
  }

  /** Returns the slot of a key, or the empty slot where it would be added. */
  private slotOf(key: number): number {
    let slot = key % this.slots;
    while (this.keys[slot] !== EMPTY && this.keys[slot] !== key) slot = (slot + 1) % this.slots;
    return slot;
  }
  private grow(): void {
    const { keys, bodies, values } = this;
    this.slots *= 2;
    this.keys = new Float64Array(this.slots);
    this.bodies = new Float64Array(this.slots);
    this.values = new Float64Array(this.slots);
    this.size = 0;
    keys.forEach((key, slot) => key !== EMPTY && this.set(key, bodies[slot], values[slot]));
  }
}
