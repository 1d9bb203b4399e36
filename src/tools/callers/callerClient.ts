import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools, HttpResponse } from "../../runtime/env";
import { Result } from "../../common/fault";
import { History } from "../history";

const RESPONSE_LIMIT_BYTES = 8_000_000;

/** A response as a caller sees it; `body` is undefined if it is not JSON. */
export interface CallerResponse<Body> {
  status: number;
  headers: Record<string, string>;
  body: Body | undefined;
}
/** The fields of an error response that callers evaluate. */
export interface ProblemBody {
  code?: string;
  detail?: string;
  step?: string;
  requestId?: string;
}

function parseJson<Body>(text: string): Body | undefined {
  try {
    return JSON.parse(text) as Body;
  } catch {
    return undefined;
  }
}

/**
 * The HTTP client that all simulated callers share, with the ingresses that they call and the history that they write.
 *
 * @example
 * const response = yield* client.post<LookupBody>(client.pickIngress(), "/v1/requests/status", { q: "1" }, 5000);
 */
export class CallerClient {
  /** Ingresses that get no calls at present, as when a load balancer has taken them out. */
  readonly avoidedIngresses = new Set<string>();
  /** A random prefix of ids and tokens, which makes those of one run differ from those of another. */
  readonly idPrefix: string;

  constructor(
    readonly env: Environment,
    readonly ingresses: string[],
    readonly history: History,
  ) {
    this.idPrefix = EnvironmentTools.randomId(env, "c").slice(2, 8);
  }

  /** Returns a random ingress that is not avoided. */
  pickIngress(): string {
    const candidates = this.ingresses.filter((address) => !this.avoidedIngresses.has(address));
    return candidates[Math.floor(this.env.random() * candidates.length)];
  }
  /** Sends a POST request with a JSON body; returns undefined if there was no complete response. */
  *post<Body>(
    address: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    headers: Record<string, string> = {},
  ): Task<CallerResponse<Body> | undefined> {
    const request = { method: "POST", path, body: JSON.stringify(body), headers, timeoutMs };
    return yield* this.readResponse<Body>(yield* this.env.httpRequest(address, request), timeoutMs);
  }
  /** Sends a GET request; returns undefined if there was no complete response. */
  *get<Body>(address: string, path: string, timeoutMs: number): Task<CallerResponse<Body> | undefined> {
    const request = { method: "GET", path, timeoutMs };
    return yield* this.readResponse<Body>(yield* this.env.httpRequest(address, request), timeoutMs);
  }
  /** Reads a response to its end; returns undefined if there is none or if it ends early. */
  *readResponse<Body>(response: Result<HttpResponse>, timeoutMs: number): Task<CallerResponse<Body> | undefined> {
    if (!response.ok) return undefined;
    const { status, headers } = response.value;
    const text = yield* EnvironmentTools.readBodyText(this.env, response.value, RESPONSE_LIMIT_BYTES, timeoutMs);
    return text === undefined ? undefined : { status, headers, body: parseJson<Body>(text) };
  }
  /**
   * Records a call that did not succeed, as "busy" for status 503 and otherwise as "failed".
   *
   * @param startedAt monotonic time at which the call started, in ms
   */
  recordFailure(kind: string, startedAt: number, response: CallerResponse<ProblemBody> | undefined): void {
    const problem = response?.body;
    const common = {
      at: this.env.wallClockMs(),
      tookMs: this.env.monotonicMs() - startedAt,
      kind,
      requestId: String(problem?.requestId ?? ""),
    };
    if (response?.status === 503)
      this.history.add({ tag: "busy", ...common, retryAfter: response.headers["retry-after"] !== undefined });
    else
      this.history.add({
        tag: "failed",
        ...common,
        code: String(problem?.code ?? "connection"),
        detail: String(problem?.detail ?? ""),
      });
  }
}
