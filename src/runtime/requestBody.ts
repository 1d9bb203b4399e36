import type * as http from "http";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { awaitCallback } from "./callbacks";
import { Task } from "./csp";
import { STOPPING_DETAIL } from "./servingPhase";

/**
 * Reads the body of a request. Up to `bodyDrainBytes` beyond the limit are read and discarded, so that the sender of a longer
 * body receives the response that rejects it. Faults: "invalid" if the body is over the limit, "broken" if the caller
 * disconnects, "busy" if the server accepts no requests any more when the last byte arrives.
 */
export function* readRequestBody(
  request: http.IncomingMessage,
  limit: number,
  acceptsRequests: () => boolean,
): Task<Result<Buffer>> {
  const overLimit = (): Result<Buffer> => Fault.fail("invalid", "read body", "caller", "body over the limit");
  const readLimit = limit + Constants.bodyDrainBytes;
  if (Number(request.headers["content-length"]) > readLimit) return overLimit();
  return yield* awaitCallback<Result<Buffer>>((done) => {
    let chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else chunks = [];
      if (size > readLimit) done(overLimit());
    });
    request.on("end", () => {
      if (size > limit) done(overLimit());
      else if (acceptsRequests()) done(Fault.ok(Buffer.concat(chunks)));
      else done(Fault.busy("read body", "server", STOPPING_DETAIL, Constants.retryAfterMs));
    });
    request.on("close", () => done(Fault.fail("broken", "read body", "caller", "caller went away")));
  });
}
