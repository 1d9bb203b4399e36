import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { LedgerReader } from "../ledgerReader";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { HttpRoute } from "../http";
import type { OperatorContext } from "./operatorContext";
import { queryNumberOr, readRoute } from "./readRoute";

const defaultPage = 200;
const maxPage = 2000;
/** Time for one attempt and for all, beyond the wait that was asked for, in ms. */
const attemptGraceMs = 500;
const totalGraceMs = 1000;

function* readWhy({ node }: OperatorContext, id: string): Task<Result<unknown>> {
  const why = yield* LedgerReader.explain(node, id);
  if (why.ok && why.value.entries.length === 0)
    return Fault.fail("notFound", "why", node.id, `nothing in the ledger bears on ${id}`);
  return why;
}

/** The state of a subject at a time, from the shard that has it. */
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
    Constants.readWaitMs + totalGraceMs,
    Constants.readWaitMs + attemptGraceMs,
  );
}

/**
 * The ledger of decisions: pages of it, the causes of one decision, and the state of a subject at a time.
 *
 * @example
 * const routes = ledgerRoutes(context);
 */
export const ledgerRoutes = (context: OperatorContext): HttpRoute[] => [
  readRoute(context.node.id, /^\/v1\/ledger$/, (exchange) =>
    LedgerReader.read(
      context.node,
      exchange.query.get("after") ?? "",
      queryNumberOr(exchange, "limit", defaultPage, maxPage),
    ),
  ),
  readRoute(context.node.id, /^\/v1\/why\/(.+)$/, (_exchange, [id]) => readWhy(context, id)),
  readRoute(context.node.id, /^\/v1\/at\/(.+)$/, (exchange, [subject]) => readAt(context, exchange, subject)),
];
