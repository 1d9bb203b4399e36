/* eslint-disable @typescript-eslint/no-explicit-any */
const r = require("restructure") as any;

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
 * What the processes say to each other: a fixed envelope by restructure around a JSON body.
 *
 * @example
 * const frame = Wire.encode({ kind: "ask", correlation: 1, cluster: "kiln", verb: "ping", sender: "n1", body: {} });
 * Wire.decode(frame, "kiln")?.verb // "ping"
 */
export const Wire = {
  encode(envelope: Envelope): Buffer {
    const body = Buffer.from(JSON.stringify(envelope.body ?? null), "utf8");
    return Buffer.from(layout.toBuffer({ ...envelope, magic, version: 1, kind: kinds.indexOf(envelope.kind), body }));
  },
  /** Undefined for what is malformed or another cluster's. @example Wire.decode(Buffer.from("x"), "kiln") // undefined */
  decode(data: Buffer, cluster: string): Envelope | undefined {
    try {
      const read = layout.fromBuffer(data);
      if (read.magic !== magic || read.version !== 1 || read.cluster !== cluster || !kinds[read.kind]) return undefined;
      const body: Uint8Array = read.body;
      return {
        kind: kinds[read.kind], correlation: read.correlation, cluster, verb: read.verb, sender: read.sender,
        body: JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString("utf8")),
      };
    } catch {
      return undefined;
    }
  },
};
