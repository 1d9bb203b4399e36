import * as http from "http";

const REQUEST_TIMEOUT_MS = 15_000;

/** A node's response. The body is the parsed JSON, or the text if it is not JSON. */
export interface OperatorResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: unknown;
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function entityHeaders(text: string | undefined): http.OutgoingHttpHeaders {
  if (text === undefined) return {};
  return { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
}

/**
 * Sends an operator's request to a node. The promise is rejected if the node can't be reached, or if the connection is
 * idle for REQUEST_TIMEOUT_MS.
 *
 * @param node IP:port of the node's HTTP
 * @example
 * const response = await sendRequest("127.0.0.1:8080", "GET", "/v1/members");
 */
export function sendRequest(
  node: string,
  method: string,
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<OperatorResponse> {
  return new Promise((resolve, reject) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const options = { method, headers: { ...entityHeaders(text), ...headers }, timeout: REQUEST_TIMEOUT_MS };
    const request = http.request(`http://${node}${path}`, options, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () => {
        const received = Buffer.concat(chunks).toString("utf8");
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: parseBody(received) });
      });
    });
    request.on("timeout", () => request.destroy(new Error("request timed out")));
    request.on("error", reject);
    request.end(text);
  });
}
