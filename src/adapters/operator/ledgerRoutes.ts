import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { LedgerReader } from "../ledgerReader";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { HttpRoute } from "../http";
import type { OperatorContext } from "./operatorContext";
import { queryNumberOr, readRoute } from "./readRoute";

const DEFAULT_PAGE_ENTRIES = 200;
const MAX_PAGE_ENTRIES = 2000;
/** How much longer than the requested wait one attempt and all attempts together may take. */
const ATTEMPT_GRACE_MS = 500;
const TOTAL_GRACE_MS = 1000;

function* readExplanation({ node }: OperatorContext, id: string): Task<Result<unknown>> {
  const explanation = yield* LedgerReader.explain(node, id);
  if (explanation.ok && explanation.value.entries.length === 0)
    return Fault.fail("notFound", "why", node.id, `nothing in the ledger bears on ${id}`);
  return explanation;
}

/** Returns the state of a subject at a given time, from the subject's shard. */
function readAt({ node, hooks }: OperatorContext, exchange: HttpExchange, subject: string): Task<Result<unknown>> {
  const { ledgerSource } = hooks;
  const id = subject.replace(/^(request|lot) /, "");
  return ledgerSource.callLeader(
    ledgerSource.shardOf(id),
    "temporal.get",
    () => ({
      subject,
      time: queryNumberOr(exchange, "time", node.env.wallClockMs(), Number.MAX_SAFE_INTEGER),
      waitMs: queryNumberOr(exchange, "waitMs", Constants.readWaitMs, Constants.readWaitMs),
    }),
    Constants.readWaitMs + TOTAL_GRACE_MS,
    Constants.readWaitMs + ATTEMPT_GRACE_MS,
  );
}

/**
 * Routes that read the ledger of decisions: its pages, the causes of a decision, and the state of a subject at a given
 * time.
 *
 * @example
 * const routes = ledgerRoutes(context);
 */
export const ledgerRoutes = (context: OperatorContext): HttpRoute[] => [
  readRoute(context.node.id, /^\/v1\/ledger$/, (exchange) =>
    LedgerReader.read(
      context.node,
      exchange.query.get("after") ?? "",
      queryNumberOr(exchange, "limit", DEFAULT_PAGE_ENTRIES, MAX_PAGE_ENTRIES),
    ),
  ),
  readRoute(context.node.id, /^\/v1\/why\/(.+)$/, (_exchange, [id]) => readExplanation(context, id)),
  readRoute(context.node.id, /^\/v1\/at\/(.+)$/, (exchange, [subject]) => readAt(context, exchange, subject)),
];
