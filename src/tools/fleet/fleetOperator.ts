import { ChangeBody, MembersBody } from "../../cli/operator/responses";
import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { Deployment, DeploymentPlan } from "../deployment";

const REQUEST_TIMEOUT_MS = 8000;
const RESPONSE_LIMIT_BYTES = 16_000_000;
const READY_POLL_MS = 150;
const CONFIGURE_RETRY_MS = 200;

/** The response of a node; `body` is the parsed JSON, or the text if it is not JSON. */
export interface FleetResponse {
  status: number;
  body: unknown;
}
/** A request of an operator to a node. */
export interface FleetRequest {
  /** Address of the node's HTTP listener, `IP:port`. */
  address: string;
  method: string;
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/**
 * Operates a fleet on this machine over HTTP: configures it and reads its state.
 *
 * @example
 * const operator = new FleetOperator(env, plan);
 * yield* operator.configure(deployment, 30_000);
 */
export class FleetOperator {
  constructor(
    private readonly env: Environment,
    private readonly plan: DeploymentPlan,
  ) {}

  /** Sends a request; returns undefined if there was no complete response in time. */
  *request({ address, method, path, body, headers = {} }: FleetRequest): Task<FleetResponse | undefined> {
    const response = yield* this.env.httpRequest(address, {
      method,
      path,
      body: body === undefined ? undefined : JSON.stringify(body),
      headers,
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (!response.ok) return undefined;
    const text = yield* EnvironmentTools.readBodyText(
      this.env,
      response.value,
      RESPONSE_LIMIT_BYTES,
      REQUEST_TIMEOUT_MS,
    );
    if (text === undefined) return undefined;
    return { status: response.value.status, body: parseBody(text) };
  }
  /** Reads a resource of a node; returns undefined if there was no complete response in time. */
  *get(address: string, path: string): Task<FleetResponse | undefined> {
    return yield* this.request({ address, method: "GET", path });
  }
  /** Reads the metrics of a node as text; returns an empty text if the node did not respond. */
  *metrics(address: string): Task<string> {
    const response = yield* this.get(address, "/metrics");
    return typeof response?.body === "string" ? response.body : "";
  }
  /** Reads the state of the cluster at the first ingress; returns undefined if that did not respond with status 200. */
  *members(): Task<MembersBody | undefined> {
    const response = yield* this.get(this.plan.ingressHttp[0], "/v1/members");
    return response?.status === 200 ? (response.body as MembersBody) : undefined;
  }
  /** Waits until all ingresses are ready, all endpoints known and the ledger readable; returns false on a time-out. */
  *waitUntilReady(withinMs: number): Task<boolean> {
    const deadline = this.env.monotonicMs() + withinMs;
    while (this.env.monotonicMs() < deadline) {
      if ((yield* this.areIngressesReady()) && (yield* this.isClusterReadable())) return true;
      yield* EnvironmentTools.sleep(this.env, READY_POLL_MS);
    }
    return false;
  }
  /** Sends the deployment's configuration and policies unless the fleet has some; returns false on a time-out. */
  *configure(deployment: Deployment, withinMs: number): Task<boolean> {
    const deadline = this.env.monotonicMs() + withinMs;
    const isConfigured = yield* this.putInitial("/v1/manifest", deployment.manifest, deadline);
    return isConfigured && (yield* this.putInitial("/v1/policies", deployment.policies, deadline));
  }

  private *areIngressesReady(): Task<boolean> {
    for (const address of this.plan.ingressHttp) {
      const response = yield* this.get(address, "/readyz");
      if (response?.status !== 200) return false;
    }
    return true;
  }
  private *isClusterReadable(): Task<boolean> {
    const members = yield* this.members();
    const ledger = yield* this.get(this.plan.ingressHttp[0], "/v1/ledger?limit=1");
    return members !== undefined && members.replicas.length >= this.plan.endpoints.length && ledger?.status === 200;
  }
  /** Puts the first version of a document at random control nodes until one accepts it, or one has a version already. */
  private *putInitial(path: string, document: unknown, deadline: number): Task<boolean> {
    const { controlHttp } = this.plan;
    while (this.env.monotonicMs() <= deadline) {
      const address = controlHttp[Math.floor(this.env.random() * controlHttp.length)];
      const current = yield* this.get(address, path);
      if (current?.status === 200) {
        if ((current.body as ChangeBody).version > 0) return true;
        const headers = { "if-match": '"0"' };
        const put = yield* this.request({ address, method: "PUT", path, body: document, headers });
        if (put?.status === 200) return true;
      }
      yield* EnvironmentTools.sleep(this.env, CONFIGURE_RETRY_MS);
    }
    return false;
  }
}
