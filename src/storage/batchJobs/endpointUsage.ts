import { Endpoint } from "../../node/clusterSnapshot";

/** Counts the items that this node runs in each pool and at each endpoint. */
export class EndpointUsage {
  private readonly byPool = new Map<string, number>();
  private readonly byEndpoint = new Map<string, number>();

  add(endpoint: Endpoint, pool: string): void {
    changeCount(this.byPool, pool, 1);
    changeCount(this.byEndpoint, endpoint.key, 1);
  }

  remove(endpoint: Endpoint, pool: string): void {
    changeCount(this.byPool, pool, -1);
    changeCount(this.byEndpoint, endpoint.key, -1);
  }

  inPool = (pool: string): number => this.byPool.get(pool) ?? 0;

  at = (endpoint: Endpoint): number => this.byEndpoint.get(endpoint.key) ?? 0;

  total = (): number => [...this.byPool.values()].reduce((sum, count) => sum + count, 0);
}

function changeCount(counts: Map<string, number>, key: string, delta: number): void {
  const count = (counts.get(key) ?? 0) + delta;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}
