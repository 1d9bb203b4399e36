import { CarriedRequestIds } from "../runtime/carriedRequestIds";
import type { BodyFraming } from "../runtime/env";
import type { SimProcess } from "./simProcess";

/** When the second copy of a response is sent. */
export const secondResponseMoments = ["whileIdle", "withNextRequest", "whileNextRequestRuns"] as const;
export type SecondResponseMoment = (typeof secondResponseMoments)[number];

/** A response as its server sent it. */
export interface SentResponse {
  status: number;
  headers: Record<string, string>;
  framing: BodyFraming;
  chunks: Buffer[];
}
/** A response that is sent once more, and when. */
export interface SecondResponse {
  moment: SecondResponseMoment;
  response: SentResponse;
}
/** Receives a response in the place of the one to the request in progress. */
export interface ResponseReceiver {
  receiveSecondResponse(response: SentResponse): void;
}

/** A kept connection from a client to a server. */
export class SimConnection {
  readonly carriedIds = new CarriedRequestIds();
  /** The response that was already sent once and will be again. */
  secondResponse: SecondResponse | undefined;
  /** The request in progress. */
  current: ResponseReceiver | undefined;
  constructor(
    readonly client: SimProcess,
    readonly server: SimProcess,
    readonly address: string,
  ) {}
}

/** The idle connections of all simulated processes. They are assigned to requests as `runtime/keepAliveAgent` does it. */
export class SimConnections {
  private readonly idleByClient = new WeakMap<SimProcess, SimConnection[]>();

  /** Returns the connection for a request: the idle one that was used last and has not carried the id, or a new one. */
  take(client: SimProcess, server: SimProcess, address: string, requestId: string): SimConnection {
    const idle = this.idleOf(client);
    const candidates = idle.filter((connection) => connection.server === server && connection.address === address);
    const next = candidates.at(-1);
    if (next?.carriedIds.has(requestId)) client.env.connectionEvents.repeatedId(address);
    const reused = candidates.reverse().find(({ carriedIds }) => !carriedIds.has(requestId));
    if (reused) this.close(reused);
    const connection = reused ?? new SimConnection(client, server, address);
    connection.carriedIds.add(requestId);
    return connection;
  }
  /** Keeps a connection for reuse after a whole response. */
  keep(connection: SimConnection): void {
    connection.current = undefined;
    this.idleOf(connection.client).push(connection);
  }
  /** Takes a connection out of use if it is idle. */
  close(connection: SimConnection): void {
    const idle = this.idleOf(connection.client);
    const index = idle.indexOf(connection);
    if (index >= 0) idle.splice(index, 1);
  }

  private idleOf(client: SimProcess): SimConnection[] {
    const idle = this.idleByClient.get(client) ?? [];
    this.idleByClient.set(client, idle);
    return idle;
  }
}
