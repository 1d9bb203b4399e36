import { Constants } from "../../common/constants";
import { Fault } from "../../common/fault";

/** The outcome that a shard recorded for a failed request. */
interface RecordedOutcome {
  detail?: string;
  /** The status of the endpoint's response. */
  status?: number;
  retryAfterMs?: number;
}

/** A fault and the HTTP status that it is reported with. */
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
 * Returns the fault and the status for a request that its shard closed in a state other than "done".
 *
 * @param outcome the recorded outcome: normally JSON, otherwise text that becomes the detail of the fault
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
