import { Constants } from "../common/constants";
import { shuffle } from "../common/shuffle";
import { Environment } from "../runtime/env";
import { Membership } from "./membership";

/** Chooses whom to gossip with: each peer once before any comes again, in random order. */
export class GossipPeers {
  /** Addresses that are still to come in this pass. */
  private remaining: string[] = [];

  constructor(
    private readonly env: Environment,
    private readonly membership: Membership,
  ) {}

  /** Addresses of up to so many different peers. */
  next(count: number): string[] {
    const peers = this.peers();
    const chosen: string[] = [];
    while (chosen.length < count && chosen.length < peers.length) {
      if (this.remaining.length === 0) this.remaining = shuffle([...peers], () => this.env.random());
      const address = this.remaining.pop()!;
      if (peers.includes(address) && !chosen.includes(address)) chosen.push(address);
    }
    return chosen;
  }

  /**
   * All others, or in a large cluster a few, so that connections don't grow with it: those at fixed distances along the
   * ring of ids, near and far, so that each member is chosen by as many as it chooses.
   */
  private peers(): string[] {
    const ring = this.membership.alive();
    const otherCount = ring.length - 1;
    const ownId = this.membership.self.id;
    if (otherCount <= Constants.gossipPeersMax)
      return ring.filter((member) => member.id !== ownId).map((member) => member.address);
    const ownIndex = ring.findIndex((member) => member.id === ownId);
    return GossipPeers.distances(otherCount).map((distance) => ring[(ownIndex + distance) % ring.length].address);
  }

  /** Distances that grow geometrically from 1 to the farthest, each once. */
  private static distances(farthest: number): number[] {
    const distances = new Set<number>();
    for (let nth = 1; nth <= Constants.gossipPeersMax; nth += 1) {
      let distance = Math.round(farthest ** (nth / Constants.gossipPeersMax));
      while (distances.has(distance)) distance = (distance % farthest) + 1;
      distances.add(distance);
    }
    return [...distances];
  }
}
