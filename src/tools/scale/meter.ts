import { DatagramSocket, Disk, Environment, Link } from "../../runtime/env";
import { Result } from "../../common/fault";
import { Csp, Task } from "../../runtime/csp";

/** What a process did: `links` are the connections that it opened, `wakeUps` the timers that fired. */
export type Counts = {
  datagrams: number;
  frames: number;
  bytes: number;
  links: number;
  wakeUps: number;
  writes: number;
  writtenBytes: number;
};
/** IPv4 and UDP headers. */
const UDP_HEADER_BYTES = 28;
/** IPv4 and TCP headers without options, and the four bytes of a frame's length. */
const TCP_HEADER_BYTES = 44;

/**
 * Wraps an environment to count what its process sends and writes and which timers wake it. Bytes are those sent,
 * including IP, UDP and TCP headers once per message; TCP acknowledgements are not counted.
 *
 * @example
 * const meter = new Meter();
 * const env = meter.wrap(world.start("agent-1", disk).env);
 * const { bytes } = meter.counts;
 */
export class Meter {
  readonly counts: Counts = { datagrams: 0, frames: 0, bytes: 0, links: 0, wakeUps: 0, writes: 0, writtenBytes: 0 };

  private link(inner: Link): Link {
    const { counts } = this;
    return {
      remoteAddress: inner.remoteAddress,
      incoming: inner.incoming,
      send(frame) {
        counts.frames += 1;
        counts.bytes += frame.length + TCP_HEADER_BYTES;
        return inner.send(frame);
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
  /** Returns an environment that behaves as the inner one and counts. */
  wrap(inner: Environment): Environment {
    const meter = this;
    const { counts } = this;
    return {
      ...inner,
      disk: this.disk(inner.disk),
      timer(ms) {
        const timer = inner.timer(ms);
        let isCancelled = false;
        // A timer that is cancelled before it fires does not count as a wake-up.
        const cancel = (): void => {
          if (!isCancelled) counts.wakeUps -= 1;
          isCancelled = true;
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
        const connected = yield* inner.connect(address, timeoutMs);
        if (!connected.ok) return connected;
        counts.links += 1;
        return { ok: true as const, value: meter.link(connected.value) };
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
              counts.bytes += data.length + UDP_HEADER_BYTES;
              bound.value.send(to, data);
            },
          },
        };
      },
    };
  }
  /** The counts since an earlier copy. */
  since(before: Counts): Counts {
    const counts = this.counts as Record<string, number>;
    return Object.fromEntries(Object.entries(before).map(([name, value]) => [name, counts[name] - value])) as Counts;
  }
  copy(): Counts {
    return { ...this.counts };
  }
  static sum(counts: Counts[]): Counts {
    const total: Counts = new Meter().counts;
    for (const each of counts) for (const name of Object.keys(total) as (keyof Counts)[]) total[name] += each[name];
    return total;
  }
}
