import { Chan, Csp, Task } from "../runtime/csp";
import { Env, Link } from "../runtime/env";
import type { SimWorld } from "../simulation/simWorld";
import { Fault, Result } from "../common/fault";

const acceptBacklog = 1024;

/**
 * Frames between replicas that are lost, doubled, or so late that others overtake them: more than a connection would
 * ever do, so that the group must not rest on the order of its messages.
 *
 * @example
 * const network = new TroubledNetwork(world);
 * world.around = (env) => network.around(env);
 * network.dropShare = 0.1;
 */
export class TroubledNetwork {
  dropShare = 0;
  duplicateShare = 0;
  delayShare = 0;
  delayMs = 0;
  constructor(private readonly world: SimWorld) {}

  /** Ends all trouble. */
  calm(): void {
    this.dropShare = this.duplicateShare = this.delayShare = 0;
  }
  /** An environment whose connections go through here. */
  around(env: Env): Env {
    const network = this;
    return {
      ...env,
      *connect(address, timeoutMs): Task<Result<Link>> {
        const made = yield* env.connect(address, timeoutMs);
        return made.ok ? Fault.ok(network.troubled(made.value)) : made;
      },
      *listen(address): Task<Result<Chan<Link>>> {
        const accepted = yield* env.listen(address);
        if (!accepted.ok) return accepted;
        const links = Csp.chan<Link>(acceptBacklog);
        Csp.go(env.scope, "troubled links", function* () {
          for (;;) {
            const link = yield* Csp.take(accepted.value);
            if (link === null) return links.close();
            yield* Csp.put(links, network.troubled(link));
          }
        });
        return Fault.ok(links);
      },
    };
  }
  private troubled(link: Link): Link {
    return {
      member: link.member,
      incoming: link.incoming,
      send: (snapshot) => this.send(link, snapshot),
      close: () => link.close(),
    };
  }
  private send(link: Link, snapshot: Buffer): boolean {
    const { world } = this;
    if (world.random() < this.dropShare) return !link.incoming.isClosed();
    if (world.random() < this.duplicateShare) world.at(world.random() * this.delayMs, () => void link.send(snapshot));
    if (world.random() < this.delayShare) {
      world.at(world.random() * this.delayMs, () => void link.send(snapshot));
      return !link.incoming.isClosed();
    }
    return link.send(snapshot);
  }
}
