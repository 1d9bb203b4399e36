import { DatagramSocket, Disk, Environment, Link } from "../../runtime/env";
import { Result } from "../../common/fault";
import { Csp, Task } from "../../runtime/csp";

export type Counts = {
  datagrams: number;
  frames: number;
  bytes: number;
  links: number;
  wakeUps: number;
  writes: number;
  writtenBytes: number;
};
const udpHeader = 28; // bytes; IPv4 and UDP
const tcpHeader = 44; // bytes; IPv4, TCP without options, and our four of length

/**
 * Counts what a process sends, writes and is woken by, around any environment. Bytes are those put out, with the
 * headers of IP, UDP and TCP of a message each; acknowledgements of TCP are not in them.
 *
 * @example
 * const meter = new Meter();
 * const env = meter.around(world.start("agent-1", disk).env);
 * meter.counts.bytes;
 */
export class Meter {
  readonly counts: Counts = { datagrams: 0, frames: 0, bytes: 0, links: 0, wakeUps: 0, writes: 0, writtenBytes: 0 };

  private link(inner: Link): Link {
    const { counts } = this;
    return {
      remoteAddress: inner.remoteAddress,
      incoming: inner.incoming,
      send(snapshot) {
        counts.frames += 1;
        counts.bytes += snapshot.length + tcpHeader;
        return inner.send(snapshot);
      },
      close: () => inner.close(),
    };
  }
  private disk(inner: Disk): Disk {
    const { counts } = this;
    const count = (data: Buffer): void => {
      counts.writes += 1;
      counts.writtenBytes += data.length;
    };
    return {
      ...inner,
      write(path, data) {
        count(data);
        return inner.write(path, data);
      },
      append(path, data) {
        count(data);
        return inner.append(path, data);
      },
    };
  }
  /** @example const env = meter.around(process.env); */
  wrap(inner: Environment): Environment {
    const meter = this;
    const { counts } = this;
    return {
      ...inner,
      disk: this.disk(inner.disk),
      timer(ms) {
        const timer = inner.timer(ms);
        let over = false;
        // a timer that was cancelled wakes nobody
        const cancel = (): void => {
          if (!over) counts.wakeUps -= 1;
          over = true;
          timer.cancel();
        };
        counts.wakeUps += 1;
        return { chan: timer.chan, cancel: () => (timer.chan.isClosed() ? undefined : cancel()) };
      },
      *listen(address) {
        const listening = yield* inner.listen(address);
        if (!listening.ok) return listening;
        const links = Csp.chan<Link>(1024);
        Csp.go(inner.scope, "metered links", function* (): Task<void> {
          for (;;) {
            const link = yield* Csp.take(listening.value);
            if (link === null) return links.close();
            yield* Csp.put(links, meter.link(link));
          }
        });
        return { ok: true as const, value: links };
      },
      *connect(address, timeoutMs): Task<Result<Link>> {
        const linked = yield* inner.connect(address, timeoutMs);
        if (!linked.ok) return linked;
        counts.links += 1;
        return { ok: true as const, value: meter.link(linked.value) };
      },
      *bindDatagrams(address): Task<Result<DatagramSocket>> {
        const bound = yield* inner.bindDatagrams(address);
        if (!bound.ok) return bound;
        return {
          ok: true as const,
          value: {
            incoming: bound.value.incoming,
            send(to, data) {
              counts.datagrams += 1;
              counts.bytes += data.length + udpHeader;
              bound.value.send(to, data);
            },
          },
        };
      },
    };
  }
  /** What was counted since. @example meter.since(before).bytes */
  since(before: Counts): Counts {
    const now = this.counts as Record<string, number>;
    return Object.fromEntries(Object.entries(before).map(([name, value]) => [name, now[name] - value])) as Counts;
  }
  /** @example const before = meter.copy(); */
  copy(): Counts {
    return { ...this.counts };
  }
  /** @example Meter.sum(meters).bytes */
  static sum(all: Counts[]): Counts {
    const zero: Counts = new Meter().counts;
    for (const each of all) for (const name of Object.keys(zero) as (keyof Counts)[]) zero[name] += each[name];
    return zero;
  }
}
