import { constants, deflateRawSync, inflateRawSync } from "zlib";
import { Constants } from "../common/constants";

const r = require("restructure");

export type Envelope = {
  kind: "ask" | "reply" | "fault" | "datagram";
  correlation: number;
  cluster: string;
  verb: string;
  sender: string;
  body: unknown;
};
const kinds: Envelope["kind"][] = ["ask", "reply", "fault", "datagram"];
const magic = 0x5042; // "PB"
const [plain, deflated] = [1, 2]; // versions: how the body stands in its frame
/** One body sent to several members is written once. */
const written = new WeakMap<object, { version: number; body: Buffer }>();
function write(content: unknown): { version: number; body: Buffer } {
  const known = typeof content === "object" && content !== null ? written.get(content) : undefined;
  if (known) return known;
  const text = Buffer.from(JSON.stringify(content ?? null), "utf8");
  if (text.length < Constants.deflateBytes) return { version: plain, body: text };
  // of long ones most is callers' own bytes in base64: no use looking for repeats, which takes four times as long
  const strategy = text.length < Constants.deflateSearchBytes ? constants.Z_DEFAULT_STRATEGY : constants.Z_HUFFMAN_ONLY;
  const packed = deflateRawSync(text, { level: 1, strategy });
  return packed.length < text.length * Constants.deflateShare
    ? { version: deflated, body: packed }
    : { version: plain, body: text };
}
const layout = new r.Struct({
  magic: r.uint16,
  version: r.uint8,
  kind: r.uint8,
  correlation: r.uint32,
  cluster: new r.String(r.uint8, "utf8"),
  verb: new r.String(r.uint8, "utf8"),
  sender: new r.String(r.uint8, "utf8"),
  body: new r.Buffer(r.uint32),
});

/**
 * What the processes say to each other: a fixed envelope by restructure around a JSON body, deflated where it is long.
 *
 * @example
 * const frame = Wire.encode({ kind: "ask", correlation: 1, cluster: "kiln", verb: "ping", sender: "n1", body: {} });
 * Wire.decode(frame, "kiln")?.verb // "ping"
 */
export const EnvelopeCodec = {
  encode(envelope: Envelope): Buffer {
    const { version, body } = write(envelope.body);
    return Buffer.from(layout.toBuffer({ ...envelope, magic, version, kind: kinds.indexOf(envelope.kind), body }));
  },
  /** A body that goes to several members unchanged, written once. @example Wire.shared(entry) */
  shared<T extends object>(content: T): T {
    written.set(content, write(content));
    return content;
  },
  /** Undefined for what is malformed or another cluster's. @example Wire.decode(Buffer.from("x"), "kiln") // undefined */
  decode(data: Buffer, cluster: string): Envelope | undefined {
    try {
      const read = layout.fromBuffer(data);
      if (
        read.magic !== magic ||
        (read.version !== plain && read.version !== deflated) ||
        read.cluster !== cluster ||
        !kinds[read.kind]
      )
        return undefined;
      const part: Uint8Array = read.body;
      const sent = Buffer.from(part.buffer, part.byteOffset, part.byteLength);
      const body =
        read.version === deflated ? inflateRawSync(sent, { maxOutputLength: Constants.frameLimitBytes }) : sent;
      return {
        kind: kinds[read.kind],
        correlation: read.correlation,
        cluster,
        verb: read.verb,
        sender: read.sender,
        body: JSON.parse(body.toString("utf8")),
      };
    } catch {
      return undefined;
    }
  },
};
