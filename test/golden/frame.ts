import { inflateRawSync } from "zlib";

/** A message between processes, parsed independently of the production codec. */
export type Frame = {
  kind: string;
  correlation: number;
  cluster: string;
  method: string;
  sender: string;
  body: unknown;
};
const MAGIC = 0x5042;
const DEFLATED_VERSION = 2;
const messageKinds = ["request", "response", "failure", "datagram"];

/** Parses a frame in the layout of version 0.1.0. */
export function parseFrame(bytes: Buffer): Frame {
  if (bytes.readUInt16BE(0) !== MAGIC) throw new Error("the frame does not begin with the magic number");
  const [version, kind] = [bytes.readUInt8(2), bytes.readUInt8(3)];
  const correlation = bytes.readUInt32BE(4);
  let offset = 8;
  const readText = (): string => {
    const end = offset + 1 + bytes.readUInt8(offset);
    const text = bytes.toString("utf8", offset + 1, end);
    offset = end;
    return text;
  };
  const [cluster, method, sender] = [readText(), readText(), readText()];
  const storedBody = bytes.subarray(offset + 4, offset + 4 + bytes.readUInt32BE(offset));
  const body = version === DEFLATED_VERSION ? inflateRawSync(storedBody) : storedBody;
  return { kind: messageKinds[kind], correlation, cluster, method, sender, body: JSON.parse(body.toString("utf8")) };
}
