import { Constants } from "../common/constants";
import { shuffle } from "../common/shuffle";
import { Environment } from "../runtime/env";
import { Membership } from "./membership";

/** Chooses the members to gossip with. A pass covers every peer once, in random order. */
export class GossipPeers {
  /** Addresses of the peers that are left in this pass. */
  private remaining: string[] = [];

  constructor(
    private readonly env: Environment,
    private readonly membership: Membership,
  ) {}

  /** Returns the addresses of up to `count` different peers. */
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
   * Returns the peers of this member: all other members, or only some in a large cluster, so that the number of
   * connections does not grow with the cluster. These are at fixed near and far distances along the ring of ids, so
   * that every member is a peer of as many members as it has peers.
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

  /** Returns different distances that grow geometrically from 1 to the farthest. */
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
