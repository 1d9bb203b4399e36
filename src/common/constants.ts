import { batchJobConstants } from "./constants/batchJobs";
import { controlConstants } from "./constants/control";
import { controlClientConstants } from "./constants/controlClient";
import { endpointConstants } from "./constants/endpoints";
import { gossipConstants } from "./constants/gossip";
import { httpConstants } from "./constants/http";
import { liveRequestConstants } from "./constants/liveRequests";
import { membershipConstants } from "./constants/membership";
import { metricsConstants } from "./constants/metrics";
import { nodeConstants } from "./constants/node";
import { routingConstants } from "./constants/routing";
import { rpcConstants } from "./constants/rpc";
import { shardConstants } from "./constants/shards";
import { timestampConstants } from "./constants/timestamps";

/**
 * All tunable constants of the system, with unit and reason; each concern has its own table in `constants/`.
 * docs/measurements.md says what was measured.
 *
 * @example
 * const listingDelay = Constants.bigDeltaMs + 2 * Constants.deltaMs + Constants.epsilonMs;
 */
export const Constants = {
  ...timestampConstants,
  ...membershipConstants,
  ...gossipConstants,
  ...endpointConstants,
  ...nodeConstants,
  ...rpcConstants,
  ...controlConstants,
  ...controlClientConstants,
  ...shardConstants,
  ...httpConstants,
  ...liveRequestConstants,
  ...routingConstants,
  ...batchJobConstants,
  ...metricsConstants,
} as const;
