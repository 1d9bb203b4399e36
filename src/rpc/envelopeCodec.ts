import { constants, deflateRawSync, inflateRawSync } from "zlib";
import { Constants } from "../common/constants";

/** What an envelope is: a request and its response or error by RPC, or a datagram of the failure detector. */
export type EnvelopeKind = "request" | "response" | "error" | "datagram";

/** One message between two processes of a cluster. */
export interface Envelope {
  readonly kind: EnvelopeKind;
  /** Pairs a response with its request; 0 where no response is wanted. 32 bits. */
  readonly correlationId: number;
  /** Name of the cluster; messages of other clusters are dropped. At most 255 bytes. */
  readonly cluster: string;
  /** Name of the remote method, or tag of the datagram. At most 255 bytes. */
  readonly method: string;
  /** Id of the member that sends. At most 255 bytes. */
  readonly sender: string;
  /** Sent as JSON; undefined becomes null. */
  readonly body: unknown;
}

/** The fields of an envelope as the binary layout has them; the names don't go over the wire. */
interface BinaryEnvelope {
  readonly magic: number;
  readonly version: number;
  readonly kind: number;
  readonly correlationId: number;
  readonly cluster: string;
  readonly method: string;
  readonly sender: string;
  readonly body: Uint8Array;
}

/** The part of restructure (which has no types of its own) that is used here. */
interface Restructure {
  readonly uint8: unknown;
  readonly uint16: unknown;
  readonly uint32: unknown;
  readonly String: new (length: unknown, encoding: string) => unknown;
  readonly Buffer: new (length: unknown) => unknown;
  readonly Struct: new (fields: Record<keyof BinaryEnvelope, unknown>) => {
    toBuffer(value: BinaryEnvelope): Uint8Array;
    fromBuffer(data: Buffer): BinaryEnvelope;
  };
}

interface EncodedBody {
  readonly version: number;
  readonly bytes: Buffer;
}

const binary = require("restructure") as Restructure;

/** "PB": the first two bytes of each envelope. */
const MAGIC = 0x5042;
/** Version 1 carries its body as plain JSON, version 2 deflated. */
const PLAIN_VERSION = 1;
const DEFLATED_VERSION = 2;
/** The position of a kind is its code on the wire. */
const KINDS: readonly EnvelopeKind[] = ["request", "response", "error", "datagram"];

const layout = new binary.Struct({
  magic: binary.uint16,
  version: binary.uint8,
  kind: binary.uint8,
  correlationId: binary.uint32,
  cluster: new binary.String(binary.uint8, "utf8"),
  method: new binary.String(binary.uint8, "utf8"),
  sender: new binary.String(binary.uint8, "utf8"),
  body: new binary.Buffer(binary.uint32),
});

/** Bodies that were encoded ahead because they go to several members. */
const encodedAhead = new WeakMap<object, EncodedBody>();

function encodeBody(body: unknown): EncodedBody {
  const ahead = typeof body === "object" && body !== null ? encodedAhead.get(body) : undefined;
  if (ahead) return ahead;
  const json = Buffer.from(JSON.stringify(body ?? null), "utf8");
  if (json.length < Constants.deflateBytes) return { version: PLAIN_VERSION, bytes: json };
  // Long bodies consist mostly of callers' own bytes in base64: a search for repeats there takes four times as long
  // and finds none.
  const strategy = json.length < Constants.deflateSearchBytes ? constants.Z_DEFAULT_STRATEGY : constants.Z_HUFFMAN_ONLY;
  const deflated = deflateRawSync(json, { level: 1, strategy });
  return deflated.length < json.length * Constants.deflateShare
    ? { version: DEFLATED_VERSION, bytes: deflated }
    : { version: PLAIN_VERSION, bytes: json };
}

function decodeBody(version: number, bytes: Uint8Array): unknown {
  const sent = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const json =
    version === DEFLATED_VERSION ? inflateRawSync(sent, { maxOutputLength: Constants.frameLimitBytes }) : sent;
  return JSON.parse(json.toString("utf8"));
}

function isOwn(read: BinaryEnvelope, cluster: string): boolean {
  const versionKnown = read.version === PLAIN_VERSION || read.version === DEFLATED_VERSION;
  return read.magic === MAGIC && versionKnown && read.cluster === cluster && KINDS[read.kind] !== undefined;
}

/**
 * Envelopes as bytes: a fixed binary header (restructure) around a JSON body, which is deflated where it is long.
 *
 * @example
 * const bytes = EnvelopeCodec.encode({
 *   kind: "request", correlationId: 1, cluster: "kiln", method: "control.status", sender: "node-1", body: {},
 * });
 * EnvelopeCodec.decode(bytes, "kiln")?.method // "control.status"
 */
export const EnvelopeCodec = {
  encode(envelope: Envelope): Buffer {
    const { version, bytes } = encodeBody(envelope.body);
    const kind = KINDS.indexOf(envelope.kind);
    return Buffer.from(layout.toBuffer({ ...envelope, magic: MAGIC, version, kind, body: bytes }));
  },
  /** Encodes a body once that goes to several members unchanged, and returns it. @example EnvelopeCodec.shared(entry) */
  preEncode<T extends object>(body: T): T {
    encodedAhead.set(body, encodeBody(body));
    return body;
  },
  /**
   * Undefined for malformed data and for another cluster's envelope.
   * @example EnvelopeCodec.decode(Buffer.from("x"), "kiln") // undefined
   */
  decode(data: Buffer, cluster: string): Envelope | undefined {
    try {
      const read = layout.fromBuffer(data);
      if (!isOwn(read, cluster)) return undefined;
      return {
        kind: KINDS[read.kind],
        correlationId: read.correlationId,
        cluster,
        method: read.method,
        sender: read.sender,
        body: decodeBody(read.version, read.body),
      };
    } catch {
      return undefined;
    }
  },
};
