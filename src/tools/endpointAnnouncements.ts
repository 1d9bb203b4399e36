import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** Time between two announcements of an endpoint, ms. */
export const ANNOUNCE_INTERVAL_MS = 900;
/** Time-out of the call and of reading its response, ms. */
export const ANNOUNCE_TIMEOUT_MS = 500;
export const ANNOUNCE_RESPONSE_LIMIT_BYTES = 10_000;

/** What an endpoint tells of itself, with the field names of the wire. */
export interface EndpointAnnouncement {
  id: string;
  address: string;
  pool: string;
  district: string;
  version: string;
  capacity: number;
  active: number;
  waiting: number;
  instance: string;
}

/** Announces an endpoint at an ingress once; returns whether the ingress responded. */
export function* announceEndpoint(
  env: Environment,
  ingress: string,
  { id, ...announcement }: EndpointAnnouncement,
): Task<boolean> {
  const response = yield* env.httpRequest(ingress, {
    method: "PUT",
    path: `/v1/replicas/${id}`,
    body: JSON.stringify(announcement),
    timeoutMs: ANNOUNCE_TIMEOUT_MS,
  });
  if (response.ok)
    yield* EnvironmentTools.readBodyText(env, response.value, ANNOUNCE_RESPONSE_LIMIT_BYTES, ANNOUNCE_TIMEOUT_MS);
  return response.ok;
}
