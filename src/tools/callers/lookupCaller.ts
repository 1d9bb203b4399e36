import { Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import { TrafficMix } from "../deployment";
import { CallerClient, ProblemBody } from "./callerClient";

const LOOKUP_TIMEOUT_MS = 5000;
const CONFIRMATION_TIMEOUT_MS = 20_000;
const CONFIRMATION_ATTEMPTS = 8;
const CONFIRMATION_RETRY_MS = 1000;

/** The response of a stand-in endpoint: the request body, and the id under which the endpoint ran the request. */
interface EchoBody extends ProblemBody {
  echo?: { q?: string };
  id?: string;
}

/** Sends the idempotent lookup of the n-th call once and checks that the response belongs to it. */
export function* callLookup(client: CallerClient, lookups: TrafficMix["lookups"], n: number): Task<void> {
  const { env, history } = client;
  const token = `${client.idPrefix}-${n}`;
  const startedAt = env.monotonicMs();
  const ingress = client.pickIngress();
  const path = `/v1/requests/${lookups.binding}`;
  const response = yield* client.post<EchoBody>(ingress, path, { q: token }, LOOKUP_TIMEOUT_MS);
  if (response?.status !== 200) return client.recordFailure("lookup", startedAt, response);
  const at = env.wallClockMs();
  const mine = response.body?.echo?.q === token;
  history.add({ tag: "lookup", at, tookMs: env.monotonicMs() - startedAt, status: 200, mine, ingress });
  history.add({ tag: "served", at, kind: "lookup" });
}

/** Sends the request of the n-th call, which has side effects, under one idempotency key until its outcome is definite. */
export function* callConfirmation(client: CallerClient, singles: TrafficMix["singles"], n: number): Task<void> {
  const { env, history } = client;
  const key = `${client.idPrefix}-key-${n}`;
  const token = `${client.idPrefix}-${n}`;
  const startedAt = env.monotonicMs();
  const path = `/v1/requests/${singles.binding}`;
  const headers = { "idempotency-key": key };
  for (let attempt = 0; attempt < CONFIRMATION_ATTEMPTS; attempt += 1) {
    const ingress = client.pickIngress();
    const response = yield* client.post<EchoBody>(ingress, path, { q: token }, CONFIRMATION_TIMEOUT_MS, headers);
    if (response?.status === 200) {
      history.add({
        tag: "single",
        at: env.wallClockMs(),
        key,
        requestId: response.headers["x-request-id"],
        status: 200,
        mine: response.body?.echo?.q === token,
        tookMs: env.monotonicMs() - startedAt,
        ran: String(response.body?.id ?? ""),
      });
      return;
    }
    const outcomeUnknown = response?.body?.code === "unknown" && response.body.step === "run";
    if (response && response.status !== 503 && outcomeUnknown)
      return client.recordFailure("single", startedAt, response);
    // After "busy" or no response, the request can be retried under the same key.
    yield* EnvironmentTools.sleep(env, CONFIRMATION_RETRY_MS);
  }
  history.add({
    tag: "failed",
    at: env.wallClockMs(),
    tookMs: env.monotonicMs() - startedAt,
    kind: "single",
    requestId: "",
    code: "noAnswer",
    detail: key,
  });
}
