import { Envelope, EnvelopeCodec } from "../rpc/envelopeCodec";
import { Member } from "./member";

/** Fields of all datagrams of the failure detector. */
interface SwimMessageBase {
  /** The sender's record of itself. */
  readonly sender: Member;
  /** Piggybacked changes of membership. */
  readonly updates: Member[];
}

/** Asks a member for an acknowledgement. */
export interface Ping extends SwimMessageBase {
  readonly type: "ping";
  /** Matches the acknowledgement with the ping; 0 if no acknowledgement is wanted. */
  readonly sequence: number;
  /** Id of the member that should respond; undefined if only its address is known. */
  readonly targetId?: string;
  /** The sender's wall clock, ms. */
  readonly sentAt: number;
  /** Whether the sender wants the whole list of members. */
  readonly wantsMembers?: boolean;
}

/** Acknowledges a ping; also a sample of the sender's clock. */
export interface Ack extends SwimMessageBase {
  readonly type: "ack";
  readonly sequence: number;
  /** The sender's wall clock, ms. */
  readonly sentAt: number;
  /** `sentAt` of the ping, which is the wall clock of the ping's sender, ms. */
  readonly pingSentAt: number;
}

/** Asks a third member to ping the target (an indirect probe). */
export interface PingRequest extends SwimMessageBase {
  readonly type: "pingRequest";
  readonly sequence: number;
  readonly target: Member;
}

/** Tells the sender of a ping request that the target is alive. With sequence 0 it only sends members to a joiner. */
export interface IndirectAck extends SwimMessageBase {
  readonly type: "indirectAck";
  readonly sequence: number;
}

/** A datagram with a tag that this version does not know; its updates are merged nevertheless. */
export interface UnknownMessage extends SwimMessageBase {
  readonly type: "unknown";
}

/** Messages of the failure detector, named as in SWIM (Das, Gupta, Motivala, 2002). */
export type SwimMessage = Ping | Ack | PingRequest | IndirectAck;

/** The same messages in the wire format. */
type WireMessage =
  | { tag: "ping"; n: number; to?: string; from: Member; wall: number; updates: Member[]; join?: boolean }
  | { tag: "ack"; n: number; from: Member; wall: number; echo: number; updates: Member[] }
  | { tag: "askAround"; n: number; from: Member; target: Member; updates: Member[] }
  | { tag: "vouch"; n: number; from: Member; updates: Member[] };

function toWire(message: SwimMessage): WireMessage {
  const { sequence: n, sender: from, updates } = message;
  switch (message.type) {
    case "ping":
      return {
        tag: "ping",
        n,
        to: message.targetId,
        from,
        wall: message.sentAt,
        updates,
        join: message.wantsMembers,
      };
    case "ack":
      return { tag: "ack", n, from, wall: message.sentAt, echo: message.pingSentAt, updates };
    case "pingRequest":
      return { tag: "askAround", n, from, target: message.target, updates };
    case "indirectAck":
      return { tag: "vouch", n, from, updates };
  }
}

function fromWire(wire: WireMessage): SwimMessage | UnknownMessage {
  const { from: sender, updates } = wire;
  switch (wire.tag) {
    case "ping":
      return {
        type: "ping",
        sequence: wire.n,
        targetId: wire.to,
        sender,
        sentAt: wire.wall,
        updates,
        wantsMembers: wire.join,
      };
    case "ack":
      return { type: "ack", sequence: wire.n, sender, sentAt: wire.wall, pingSentAt: wire.echo, updates };
    case "askAround":
      return { type: "pingRequest", sequence: wire.n, sender, target: wire.target, updates };
    case "vouch":
      return { type: "indirectAck", sequence: wire.n, sender, updates };
    default:
      return { type: "unknown", sender, updates };
  }
}

/** Checks the fields that all messages have; the fields of each type are not checked. */
function hasMessage(envelope: Envelope): envelope is Envelope & { readonly body: WireMessage } {
  const body = envelope.body as Partial<WireMessage> | null | undefined;
  return envelope.kind === "datagram" && Boolean(body?.from) && Array.isArray(body?.updates);
}

/** Encodes and decodes messages of the failure detector as datagrams. */
export const SwimCodec = {
  encode(message: SwimMessage, cluster: string): Buffer {
    const body = toWire(message);
    return EnvelopeCodec.encode({
      kind: "datagram",
      correlationId: 0,
      cluster,
      method: body.tag,
      sender: message.sender.id,
      body,
    });
  },
  /** Returns undefined for malformed data and for messages of another cluster. */
  decode(data: Buffer, cluster: string): SwimMessage | UnknownMessage | undefined {
    const envelope = EnvelopeCodec.decode(data, cluster);
    return envelope && hasMessage(envelope) ? fromWire(envelope.body) : undefined;
  },
};
