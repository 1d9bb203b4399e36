import { constants, deflateRawSync, inflateRawSync } from "zlib";
import { Constants } from "../common/constants";

/** An RPC request, its response or error, or a datagram of the failure detector. */
export type EnvelopeKind = "request" | "response" | "error" | "datagram";

/** One message between two processes of a cluster. */
export interface Envelope {
  readonly kind: EnvelopeKind;
  /** Matches a response to its request; 0 if no response is expected. 32 bits. */
  readonly correlationId: number;
  /** The name of the cluster; messages of other clusters are dropped. At most 255 bytes. */
  readonly cluster: string;
  /** The name of the remote method, or the tag of the datagram. At most 255 bytes. */
  readonly method: string;
  /** The id of the sending member. At most 255 bytes. */
  readonly sender: string;
  /** Sent as JSON; undefined becomes null. */
  readonly body: unknown;
}

/** An envelope in the binary layout; the field names are not sent. */
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

/** The part of restructure that is used here; the package has no type declarations. */
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

/** The first two bytes of each envelope, "PB". */
const MAGIC = 0x5042;
/** Version 1 carries the body as plain JSON, version 2 as deflated JSON. */
const PLAIN_VERSION = 1;
const DEFLATED_VERSION = 2;
/** The index of a kind is its code on the wire. */
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

/** Encodings of bodies that are sent to several members. */
const preEncodedBodies = new WeakMap<object, EncodedBody>();

function encodeBody(body: unknown): EncodedBody {
  const preEncoded = typeof body === "object" && body !== null ? preEncodedBodies.get(body) : undefined;
  if (preEncoded) return preEncoded;
  const json = Buffer.from(JSON.stringify(body ?? null), "utf8");
  if (json.length < Constants.deflateMinBytes) return { version: PLAIN_VERSION, bytes: json };
  // Long bodies consist mostly of callers' data in base64, in which a search for repeated strings takes four times
  // as long and finds none.
  const strategy =
    json.length < Constants.deflateSearchMaxBytes ? constants.Z_DEFAULT_STRATEGY : constants.Z_HUFFMAN_ONLY;
  const deflated = deflateRawSync(json, { level: 1, strategy });
  return deflated.length < json.length * Constants.deflateMaxRatio
    ? { version: DEFLATED_VERSION, bytes: deflated }
    : { version: PLAIN_VERSION, bytes: json };
}

function decodeBody(version: number, bytes: Uint8Array): unknown {
  const sent = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const json =
    version === DEFLATED_VERSION ? inflateRawSync(sent, { maxOutputLength: Constants.messageMaxBytes }) : sent;
  return JSON.parse(json.toString("utf8"));
}

function isValid(fields: BinaryEnvelope, cluster: string): boolean {
  const isKnownVersion = fields.version === PLAIN_VERSION || fields.version === DEFLATED_VERSION;
  return fields.magic === MAGIC && isKnownVersion && fields.cluster === cluster && KINDS[fields.kind] !== undefined;
}

/**
 * Encodes envelopes as a binary header, laid out by restructure, and a JSON body, which is deflated if it is long.
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
  /** Encodes a body that is sent unchanged to several members, so that this is done only once, and returns the body. */
  preEncode<T extends object>(body: T): T {
    preEncodedBodies.set(body, encodeBody(body));
    return body;
  },
  /**
   * Returns undefined for malformed data and for envelopes of other clusters.
   * @example EnvelopeCodec.decode(Buffer.from("x"), "kiln") // undefined
   */
  decode(data: Buffer, cluster: string): Envelope | undefined {
    try {
      const envelope = layout.fromBuffer(data);
      if (!isValid(envelope, cluster)) return undefined;
      return {
        kind: KINDS[envelope.kind],
        correlationId: envelope.correlationId,
        cluster,
        method: envelope.method,
        sender: envelope.sender,
        body: decodeBody(envelope.version, envelope.body),
      };
    } catch {
      return undefined;
    }
  },
};
