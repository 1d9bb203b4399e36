import { Constants } from "../../common/constants";
import { Fault } from "../../common/fault";

/** What a shard recorded on how a request failed. */
interface RecordedOutcome {
  detail?: string;
  /** The status that an endpoint responded with. */
  status?: number;
  retryAfterMs?: number;
}

/** A fault with the status that a caller gets for it. */
export interface FaultResponse {
  fault: Fault;
  status: number;
}

function parseOutcome(outcome: string): RecordedOutcome {
  try {
    return JSON.parse(outcome || "{}") as RecordedOutcome;
  } catch {
    return { detail: outcome };
  }
}

const isClientError = (status: number | undefined): status is number =>
  status !== undefined && status >= 400 && status < 500;

/**
 * The fault and status for a request that its shard closed in another state than "done"; `outcome` is what the shard
 * recorded on it, normally as JSON.
 *
 * @example
 * closedRequestFault("refused", "", "req-1").status // 503
 */
export function closedRequestFault(state: string, outcome: string, requestId: string): FaultResponse {
  const recorded = parseOutcome(outcome);
  const detail = recorded.detail ?? state;
  switch (state) {
    case "refused": {
      const retryAfterMs = recorded.retryAfterMs ?? Constants.retryAfterMs;
      return { fault: { tag: "busy", step: "run", member: requestId, detail, retryAfterMs }, status: 503 };
    }
    case "unknown":
      return { fault: { tag: "unknown", step: "run", member: requestId, detail }, status: 504 };
    default:
      return {
        fault: { tag: "broken", step: "run", member: requestId, detail },
        status: isClientError(recorded.status) ? recorded.status : 502,
      };
  }
}
