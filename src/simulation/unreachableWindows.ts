interface Window {
  node: string;
  from: number;
  /** Infinity while the window is open. */
  to: number;
}

/**
 * Time windows in which a node may be unreachable, so that the checker excuses its stale responses. Nodes are identified by
 * their HTTP addresses; times are wall clock times in ms.
 *
 * @example
 * windows.open("10.0.0.1:80", now);
 * windows.close("10.0.0.1:80", now + 4000);
 * windows.covers("10.0.0.1:80", now, now + 100); // true
 */
export class UnreachableWindows {
  private readonly windows: Window[] = [];

  /** Opens a window of a node. */
  open(node: string, from: number): void {
    this.windows.push({ node, from, to: Infinity });
  }
  /** Ends all open windows of a node. */
  close(node: string, to: number): void {
    for (const window of this.windows) if (window.node === node && window.to === Infinity) window.to = to;
  }
  /** Ends the oldest open window of a node. */
  closeOldest(node: string, to: number): void {
    const window = this.windows.find((candidate) => candidate.node === node && candidate.to === Infinity);
    if (window) window.to = to;
  }
  /** Ends the open windows of all nodes. */
  closeAll(to: number): void {
    for (const window of this.windows) if (window.to === Infinity) window.to = to;
  }
  /** Whether a window of the node overlaps the period. */
  covers(node: string, from: number, to: number): boolean {
    return this.windows.some((window) => window.node === node && window.from <= to && window.to >= from);
  }
}
