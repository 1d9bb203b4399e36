import { EnvelopeCodec } from "../../src/rpc/envelopeCodec";

/** Calls `observe` with the bytes of each message that is encoded while `action` runs. */
export async function observeFrames<T>(observe: (bytes: Buffer) => void, action: () => Promise<T>): Promise<T> {
  const { encode } = EnvelopeCodec;
  EnvelopeCodec.encode = (envelope) => {
    const bytes = encode(envelope);
    observe(bytes);
    return bytes;
  };
  try {
    return await action();
  } finally {
    EnvelopeCodec.encode = encode;
  }
}
