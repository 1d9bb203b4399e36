interface Window {
  node: string;
  from: number;
  /** Infinity while it is open. */
  to: number;
}

/**
 * Times in which a node may be out of touch, by the address of its HTTP: what it says then binds nobody. Times are wall
 * clock milliseconds.
 *
 * @example
 * windows.open("10.0.0.1:80", now);
 * windows.close("10.0.0.1:80", now + 4000);
 * windows.covers("10.0.0.1:80", now, now + 100); // true
 */
export class UnreachableWindows {
  private readonly windows: Window[] = [];

  /** A node goes out of touch. @example windows.open(address, now); */
  open(node: string, from: number): void {
    this.windows.push({ node, from, to: Infinity });
  }
  /** All open windows of a node end. @example windows.close(address, now + 4000); */
  close(node: string, to: number): void {
    for (const window of this.windows) if (window.node === node && window.to === Infinity) window.to = to;
  }
  /** The oldest open window of a node ends. @example windows.closeOldest(address, now + 2500); */
  closeOldest(node: string, to: number): void {
    const window = this.windows.find((candidate) => candidate.node === node && candidate.to === Infinity);
    if (window) window.to = to;
  }
  /** All open windows end. @example windows.closeAll(now + 4000); */
  closeAll(to: number): void {
    for (const window of this.windows) if (window.to === Infinity) window.to = to;
  }
  /** Whether a node was out of touch at some moment of a span. @example windows.covers(address, from, to) */
  covers(node: string, from: number, to: number): boolean {
    return this.windows.some((window) => window.node === node && window.from <= to && window.to >= from);
  }
}
