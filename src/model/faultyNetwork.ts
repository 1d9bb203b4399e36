import { Fault, Result } from "../common/fault";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, Link } from "../runtime/env";
import type { SimWorld } from "../simulation/simWorld";

/** Maximum number of accepted connections that are queued for the server. */
const ACCEPT_BACKLOG = 1024;

/**
 * Drops, duplicates and reorders messages between replicas. A real connection would not do so, but the group must not
 * depend on the order of its messages.
 */
export class FaultyNetwork {
  /** Share of the messages that are dropped, from 0 to 1. */
  dropShare = 0;
  /** Share of the messages that are duplicated, from 0 to 1. */
  duplicateShare = 0;
  /** Share of the messages that are delayed, from 0 to 1. */
  delayShare = 0;
  /** Maximum delay of duplicated and delayed messages, in ms. */
  delayMs = 0;

  constructor(private readonly world: SimWorld) {}

  /** Ends all faults. */
  heal(): void {
    this.dropShare = this.duplicateShare = this.delayShare = 0;
  }

  /** Returns the environment with its connections routed through this network. */
  wrap(env: Environment): Environment {
    const network = this;
    return {
      ...env,
      *connect(address, timeoutMs): Task<Result<Link>> {
        const connected = yield* env.connect(address, timeoutMs);
        return connected.ok ? Fault.ok(network.wrapLink(connected.value)) : connected;
      },
      *listen(address): Task<Result<Chan<Link>>> {
        const listening = yield* env.listen(address);
        return listening.ok ? Fault.ok(network.wrapLinks(env, listening.value)) : listening;
      },
    };
  }
  private wrapLinks(env: Environment, accepted: Chan<Link>): Chan<Link> {
    const network = this;
    const links = Csp.chan<Link>(ACCEPT_BACKLOG);
    Csp.go(env.scope, "faulty links", function* () {
      for (;;) {
        const link = yield* Csp.take(accepted);
        if (link === null) return links.close();
        yield* Csp.put(links, network.wrapLink(link));
      }
    });
    return links;
  }
  private wrapLink(link: Link): Link {
    return {
      remoteAddress: link.remoteAddress,
      incoming: link.incoming,
      send: (message) => this.send(link, message),
      close: () => link.close(),
    };
  }
  private send(link: Link, message: Buffer): boolean {
    const { world } = this;
    if (world.random() < this.dropShare) return !link.incoming.isClosed();
    if (world.random() < this.duplicateShare) this.sendLater(link, message);
    if (world.random() < this.delayShare) {
      this.sendLater(link, message);
      return !link.incoming.isClosed();
    }
    return link.send(message);
  }
  private sendLater(link: Link, message: Buffer): void {
    this.world.schedule(this.world.random() * this.delayMs, () => void link.send(message));
  }
}
