import type { HeaderNames } from "../forwarding/headerNames";
import type { RequestAdmission } from "../adapters/caller/callerOperations";
import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { AdmissionQueue } from "../routing/admissionQueue";
import { EndpointSelector } from "../routing/endpointSelector";
import { Environment } from "../runtime/env";
import { IngressCounters } from "./ingressCounters";
import type { IngressReadiness } from "./ingressReadiness";
import type { LedgerNotes } from "./ledgerNotes";

/** What the handling of direct requests needs from its ingress. */
export interface DirectContext {
  readonly env: Environment;
  readonly id: string;
  readonly headerNames: HeaderNames;
  readonly admission: Pick<RequestAdmission, "bodyLimitBytes" | "countLive">;
  readonly admissionQueue: AdmissionQueue;
  readonly endpointSelector: EndpointSelector;
  readonly counters: IngressCounters;
  readonly notes: Pick<LedgerNotes, "add">;
  readonly readiness: Pick<IngressReadiness, "rejectReason" | "clockReason">;
  snapshot(): ClusterSnapshot;
}
