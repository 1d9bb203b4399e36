import { Envelope, EnvelopeCodec } from "../rpc/envelopeCodec";
import { Member } from "./member";

/** What all datagrams of the failure detector carry. */
interface SwimMessageBase {
  /** The member that sends, as it knows itself. */
  readonly sender: Member;
  /** Changes of membership, piggybacked. */
  readonly updates: Member[];
}

/** Asks a member to acknowledge that it is alive. */
export interface Ping extends SwimMessageBase {
  readonly type: "ping";
  /** Pairs the acknowledgement with it; 0 if none is wanted. */
  readonly sequence: number;
  /** Id of the member that should respond; undefined where only the address is known. */
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
  /** `sentAt` of the ping: the receiver's own clock as it sent that. */
  readonly pingSentAt: number;
}

/** Asks a third member to ping the target (an indirect probe). */
export interface PingRequest extends SwimMessageBase {
  readonly type: "pingRequest";
  readonly sequence: number;
  readonly target: Member;
}

/** Tells who sent a ping request that the target is alive. With sequence 0 it only carries members to a joiner. */
export interface IndirectAck extends SwimMessageBase {
  readonly type: "indirectAck";
  readonly sequence: number;
}

/** A datagram with a tag that this version doesn't know; its updates count all the same. */
export interface UnknownMessage extends SwimMessageBase {
  readonly type: "unknown";
}

/** Messages of the failure detector, named as in SWIM (Das, Gupta, Motivala, 2002). */
export type SwimMessage = Ping | Ack | PingRequest | IndirectAck;

/** The same under the names of the wire. */
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

/** Whether the envelope carries what all messages have; the fields of each kind aren't checked. */
function hasMessage(envelope: Envelope): envelope is Envelope & { readonly body: WireMessage } {
  const body = envelope.body as Partial<WireMessage> | null | undefined;
  return envelope.kind === "datagram" && Boolean(body?.from) && Array.isArray(body?.updates);
}

/** Messages of the failure detector as datagrams. */
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
  /** Undefined for malformed data and for another cluster's. */
  decode(data: Buffer, cluster: string): SwimMessage | UnknownMessage | undefined {
    const envelope = EnvelopeCodec.decode(data, cluster);
    return envelope && hasMessage(envelope) ? fromWire(envelope.body) : undefined;
  },
};
