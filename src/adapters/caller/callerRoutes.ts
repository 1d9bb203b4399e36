import { HttpRoute } from "../http";
import type { CallerOperations } from "./callerOperations";
import { JobRoutes } from "./jobRoutes";
import { RequestRoutes } from "./requestRoutes";

/**
 * The HTTP API for callers: requests, streams and batch jobs.
 *
 * @example
 * const routes = CallerRoutes.of(operations);
 */
export const CallerRoutes = {
  of: (operations: CallerOperations): HttpRoute[] => [
    ...new RequestRoutes(operations).routes(),
    ...new JobRoutes(operations).routes(),
  ],
};
