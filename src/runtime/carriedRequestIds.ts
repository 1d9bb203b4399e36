/**
 * The number of ids that are remembered of one connection. A second copy of a response takes the place of the next response
 * on its connection, so it can't follow after as many others.
 */
const MAX_IDS = 32;

/** The ids of the requests that a connection has carried last. */
export class CarriedRequestIds {
  private readonly ids: string[] = [];

  has(id: string): boolean {
    return this.ids.includes(id);
  }

  add(id: string): void {
    this.ids.push(id);
    if (this.ids.length > MAX_IDS) this.ids.shift();
  }
}
