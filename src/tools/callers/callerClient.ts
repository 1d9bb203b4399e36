import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools, HttpResponse } from "../../runtime/env";
import { Result } from "../../common/fault";
import { History } from "../history";

const RESPONSE_LIMIT_BYTES = 8_000_000;

/** A response as a caller sees it; `body` is undefined where it is no JSON. */
export interface CallerResponse<Body> {
  status: number;
  headers: Record<string, string>;
  body: Body | undefined;
}
/** Fields of an error response that callers look at. */
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
 * What all stand-in callers share: the ingresses, requests to them, and the history that they write.
 *
 * @example
 * const response = yield* client.post<LookupBody>(client.pickIngress(), "/v1/requests/status", { q: "1" }, 5000);
 */
export class CallerClient {
  /** Ingresses that the platform sends nobody to just now. */
  readonly avoid = new Set<string>();
  /** Makes the ids and tokens of one run differ from those of another. */
  readonly salt: string;

  constructor(
    readonly env: Environment,
    readonly ingresses: string[],
    readonly history: History,
  ) {
    this.salt = EnvironmentTools.randomId(env, "c").slice(2, 8);
  }

  /** One of the ingresses, at random. @example client.pickIngress() */
  pickIngress(): string {
    const ready = this.ingresses.filter((address) => !this.avoid.has(address));
    return ready[Math.floor(this.env.random() * ready.length)];
  }
  /** Undefined where no response came. @example yield* client.post(address, "/v1/lots", job, 12_000) */
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
  /** Undefined where no response came. @example yield* client.get(address, "/v1/lots/lot-1/results", 6000) */
  *get<Body>(address: string, path: string, timeoutMs: number): Task<CallerResponse<Body> | undefined> {
    const request = { method: "GET", path, timeoutMs };
    return yield* this.readResponse<Body>(yield* this.env.httpRequest(address, request), timeoutMs);
  }
  /** Reads a response to its end; undefined where it broke off. @example yield* client.readResponse(response, 2000) */
  *readResponse<Body>(response: Result<HttpResponse>, timeoutMs: number): Task<CallerResponse<Body> | undefined> {
    if (!response.ok) return undefined;
    const { status, headers } = response.value;
    const text = yield* EnvironmentTools.readBodyText(this.env, response.value, RESPONSE_LIMIT_BYTES, timeoutMs);
    return text === undefined ? undefined : { status, headers, body: parseJson<Body>(text) };
  }
  /** Records a response that is no success: rejected as busy, or failed. @example client.recordFailure("lookup", startedAt, response); */
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
