import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools, HttpExchange } from "../runtime/env";
import { Command } from "../controlState/command";
import { PolicyRule } from "../controlState/policy";
import { Fault, Result } from "../common/fault";
import { NodeContext } from "../node/nodeContext";
import { ControlRequest } from "../node/controlRequest";
import { Hash } from "../common/hash";
import { LedgerReader } from "./ledgerReader";
import { Node } from "../node/node";
import { ShardClient } from "../storage/shardClient";
import { Http, HttpRoute } from "./http";
import { OperatorSchemas } from "./operatorSchemas";

export type OperatorHooks = {
  unreadyReason: () => string | undefined;
  metrics: () => Record<string, number>;
  ledgerSource: ShardClient;
};

/** If-Match as a version, or a reply that one is needed. */
function ifMatchVersion(incoming: HttpExchange): number | undefined {
  const given = (incoming.headers["if-match"] ?? "").replace(/^W\//, "").replace(/"/g, "");
  if (/^\d+$/.test(given)) return +given;
  Http.problem(
    incoming,
    {
      tag: "invalid",
      step: "read If-Match",
      member: "operator",
      detail: "name the version the change was made against in If-Match",
    },
    428,
  );
  return undefined;
}

/**
 * The operators' and replicas' shape of the HTTP surface, the same on every program.
 *
 * @example
 * yield* OperatorHttp.serve(env, "127.0.0.1:8080", node, hooks);
 */
export const OperatorHttp = {
  *serve(env: Env, address: string, node: Node, hooks: OperatorHooks): Task<Result<true>> {
    const routes = OperatorHttp.routes(NodeContext.of(node), hooks);
    return yield* env.serveHttp(address, (incoming) => Http.dispatch(routes, incoming));
  },

  /** The id of a change that was given none: the same change again has the same. @example OperatorHttp.changeId(incoming, 7, body.text) */
  derivedChangeId: (incoming: HttpExchange, ifVersion: number, body: string): string =>
    `change-${Hash.text(`${incoming.method} ${incoming.path} ${ifVersion} ${body}`)}`,
  /**
   * Whether the caller still waits. A process that was frozen reads an order and the end of its connection at once: an
   * order that names no version must not be carried out for a caller that left before.
   * @example if (!(yield* OperatorHttp.callerWaits(env, incoming))) return;
   */
  *callerStillWaits(env: Env, incoming: HttpExchange): Task<boolean> {
    const gone = yield* EnvTools.takeWithin(env, incoming.gone, Constants.callerGoneLookMs);
    return gone === undefined;
  },
  /** If-Match as a version, or a reply that one is needed. @example const ifVersion = OperatorHttp.versionOf(incoming); */
  versionOf: ifMatchVersion,
  /** @example const routes = OperatorHttp.routes(host, hooks); */
  routes(host: NodeContext, hooks: OperatorHooks): HttpRoute[] {
    const { env } = host;
    const by = (incoming: HttpExchange): string => incoming.headers["x-operator"] || "operator";
    const changed = function* (
      incoming: HttpExchange,
      body: string,
      make: (base: { changeId: string; ifVersion: number; by: string }) => Command,
    ): Task<void> {
      const ifVersion = ifMatchVersion(incoming);
      if (ifVersion === undefined) return;
      const changeId = incoming.headers["x-change-id"] || OperatorHttp.derivedChangeId(incoming, ifVersion, body);
      const done = yield* host.control.request<{ version: number }>(
        { op: "change", command: make({ changeId, ifVersion, by: by(incoming) }) },
        Constants.changeWaitMs,
      );
      if (!done.ok) return Http.problem(incoming, done.fault, undefined, { changeId });
      Http.json(incoming, 200, { version: done.value.version, changeId }, { etag: `"${done.value.version}"` });
    };
    const doc = (what: "manifest" | "policies", limit: number): HttpRoute[] => [
      {
        method: "GET",
        path: new RegExp(`^/v1/${what}$`),
        *run(incoming) {
          const read = yield* host.control.request<{ version: number }>({ op: "read", what }, 4000);
          if (!read.ok) return Http.problem(incoming, read.fault);
          Http.json(incoming, 200, read.value, { etag: `"${read.value.version}"` });
        },
      },
      {
        method: "PUT",
        path: new RegExp(`^/v1/${what}$`),
        *run(incoming) {
          const body = yield* Http.body(incoming, limit);
          if (!body) return;
          const policies = (): Result<{ doc: PolicyRule[] }> => {
            const checked = OperatorSchemas.policies(body.value);
            return checked.ok ? Fault.ok({ doc: checked.value }) : checked;
          };
          const checked: Result<{ version?: number; doc: unknown }> =
            what === "manifest" ? OperatorSchemas.configurationChange(body.value) : policies();
          if (!checked.ok) return Http.problem(incoming, checked.fault);
          yield* changed(incoming, body.text, (base) => ({ tag: what, ...base, ...checked.value }) as Command);
        },
      },
    ];
    const reading = (
      path: RegExp,
      read: (incoming: HttpExchange, parts: string[]) => Task<Result<unknown>>,
    ): HttpRoute => ({
      method: "GET",
      path,
      *run(incoming, parts) {
        const done = yield* read(incoming, parts);
        if (!done.ok) return Http.problem(incoming, done.fault);
        if (done.value === null || done.value === undefined)
          return Http.problem(incoming, {
            tag: "notFound",
            step: "read",
            member: host.id,
            detail: `no ${incoming.path}`,
          });
        Http.json(incoming, 200, done.value);
      },
    });
    /** An order of one word, with no version: said again, it stays as it is. */
    const ordered = function* (
      incoming: HttpExchange,
      make: (base: { changeId: string; by: string; identified: boolean }) => ControlRequest,
    ): Task<void> {
      const given = incoming.headers["x-change-id"];
      const changeId = given || EnvTools.id(env, "change");
      if (!(yield* OperatorHttp.callerStillWaits(env, incoming))) return;
      const done = yield* host.control.request<{ version: number }>(
        make({ changeId, by: by(incoming), identified: Boolean(given) }),
        Constants.changeWaitMs,
      );
      if (!done.ok)
        return Http.problem(incoming, done.fault, done.fault.tag === "conflict" ? 409 : undefined, { changeId });
      Http.json(incoming, 200, { version: done.value.version, changeId });
    };
    const drains = (["drain", "undrain"] as const).map((tag): HttpRoute => ({
      method: tag === "drain" ? "POST" : "DELETE",
      path: /^\/v1\/districts\/([^/]{1,80})\/drain$/,
      run: (incoming, [zone]) =>
        ordered(incoming, (base) => ({ op: "change", command: { tag, ...base, district: zone, at: env.wall() } })),
    }));
    const number = (incoming: HttpExchange, name: string, otherwise: number, most: number): number => {
      const given = Number(incoming.query.get(name) ?? otherwise);
      return Number.isFinite(given) && given >= 0 ? Math.min(given, most) : otherwise;
    };
    return [
      ...doc("manifest", Constants.configurationLimitBytes),
      ...doc("policies", Constants.bodyLimitBytes),
      {
        method: "PATCH",
        path: /^\/v1\/manifest$/,
        *run(incoming) {
          const body = yield* Http.body(incoming, Constants.configurationLimitBytes);
          if (!body) return;
          const checked = OperatorSchemas.configurationPatch(body.value);
          if (!checked.ok) return Http.problem(incoming, checked.fault);
          yield* changed(incoming, body.text, (base) => ({ tag: "patch", ...base, ...checked.value }));
        },
      },
      ...drains,
      {
        method: "POST",
        path: /^\/v1\/stores\/([^/]{1,120})\/retirement$/,
        run: (incoming, [store]) => ordered(incoming, (base) => ({ op: "retire", ...base, store })),
      },
      reading(/^\/v1\/stores\/([^/]{1,120})\/retirement$/, (_incoming, [id]) =>
        host.control.request({ op: "read", what: "retirement", id }, 4000),
      ),
      reading(/^\/v1\/calendar$/, () => host.control.request({ op: "read", what: "calendar" }, 4000)),
      reading(/^\/v1\/calendar\/([^/]+)$/, (_incoming, [id]) =>
        host.control.request({ op: "read", what: "calendar", id }, 4000),
      ),
      reading(/^\/v1\/changes\/([^/]+)$/, (_incoming, [id]) =>
        host.control.request({ op: "read", what: "change", id }, 4000),
      ),
      {
        method: "PUT",
        path: /^\/v1\/calendar\/([A-Za-z0-9._-]{1,80})$/,
        *run(incoming, [id]) {
          const body = yield* Http.body(incoming, Constants.configurationLimitBytes);
          if (!body) return;
          const checked = OperatorSchemas.calendarEntry(body.value, env.wall());
          if (!checked.ok) return Http.problem(incoming, checked.fault);
          yield* changed(incoming, body.text, (base) => ({
            tag: "pencil",
            ...base,
            id,
            due: checked.value.due,
            move: checked.value.move,
          }));
        },
      },
      {
        method: "DELETE",
        path: /^\/v1\/calendar\/([A-Za-z0-9._-]{1,80})$/,
        *run(incoming, [id]) {
          yield* changed(incoming, "", (base) => ({ tag: "erase", ...base, id }));
        },
      },
      {
        method: "POST",
        path: /^\/v1\/control\/recover$/,
        *run(incoming) {
          const body = yield* Http.body(incoming, Constants.bodyLimitBytes);
          if (!body) return;
          const checked = OperatorSchemas.recovery(body.value);
          if (!checked.ok) return Http.problem(incoming, checked.fault);
          const address = host
            .snapshot()
            .members.find((member) => member.id === checked.value.voter && member.program === "control")?.address;
          if (!address)
            return Http.problem(incoming, {
              tag: "notFound",
              step: "recover",
              member: host.id,
              detail: `no living control member ${checked.value.voter}`,
            });
          const done = yield* host.rpc.call(
            address,
            "control.recover",
            { ...checked.value, by: incoming.headers["x-operator"] || "operator" },
            Constants.changeWaitMs,
          );
          if (!done.ok) return Http.problem(incoming, done.fault);
          Http.json(incoming, 200, done.value);
        },
      },
      reading(/^\/v1\/ledger$/, (incoming) =>
        LedgerReader.read(host, incoming.query.get("after") ?? "", number(incoming, "limit", 200, 2000)),
      ),
      reading(/^\/v1\/why\/(.+)$/, function* (_incoming, [id]) {
        const why = yield* LedgerReader.why(host, id);
        return why.ok && why.value.entries.length === 0
          ? Fault.fail("notFound", "why", host.id, `nothing in the ledger bears on ${id}`)
          : why;
      }),
      reading(/^\/v1\/at\/(.+)$/, (incoming, [subject]) =>
        hooks.ledgerSource.callLeader(
          hooks.ledgerSource.shardOf(subject.replace(/^(request|lot) /, "")),
          "temporal.get",
          () => ({
            subject,
            time: number(incoming, "time", env.wall(), Number.MAX_SAFE_INTEGER),
            waitMs: number(incoming, "waitMs", Constants.readWaitMs, Constants.readWaitMs),
          }),
          Constants.readWaitMs + 1000,
          Constants.readWaitMs + 500,
        ),
      ),
      reading(/^\/v1\/members$/, function* () {
        const snapshot = host.snapshot();
        return Fault.ok({
          members: snapshot.members.map(({ id, program, district: zone, address, http, state }) => ({
            id,
            program,
            district: zone,
            address,
            http,
            state,
          })),
          replicas: snapshot.endpoints,
          group: snapshot.control?.group ?? null,
          frame: snapshot.control?.index ?? 0,
          manifest: snapshot.control?.manifest.version ?? 0,
          views: Object.values(snapshot.control?.views ?? {}),
          drained: snapshot.control?.drained ?? [],
          retiring: snapshot.control?.retiring ?? [],
          releases: snapshot.control?.releases ?? {},
        });
      }),
      reading(/^\/v1\/inforce$/, function* () {
        // a node that holds new work has nothing in force
        const held = hooks.unreadyReason();
        if (held) return Fault.busy("read what is in force", host.id, held, Constants.retryAfterMs);
        const control = host.snapshot().control;
        return Fault.ok(
          control ? { frame: control.index, manifest: control.manifest, policies: control.policies } : null,
        );
      }),
      reading(/^\/v1\/shards$/, function* () {
        const stores: unknown[] = [];
        for (const member of host.snapshot().members.filter((each) => each.program === "store")) {
          const response = yield* host.rpc.call(member.address, "store.shards", {}, 800);
          if (response.ok) stores.push({ store: member.id, ...response.value });
        }
        return Fault.ok({ stores });
      }),
      {
        method: "PUT",
        path: /^\/v1\/replicas\/([A-Za-z0-9._-]{1,80})$/,
        *run(incoming, [id]) {
          const body = yield* Http.body(incoming, 65_536);
          if (!body) return;
          const checked = OperatorSchemas.announcement(body.value);
          if (!checked.ok) return Http.problem(incoming, checked.fault);
          const done = yield* host.announce({ ...checked.value, id });
          if (!done.ok) return Http.problem(incoming, done.fault, done.fault.tag === "conflict" ? 409 : undefined);
          Http.json(incoming, 200, { ...(done.value as object), grantMs: Constants.endpointLeaseMs });
        },
      },
      {
        method: "DELETE",
        path: /^\/v1\/replicas\/([A-Za-z0-9._-]{1,80})$/,
        *run(incoming, [id]) {
          const done = yield* host.goodbye(id);
          if (!done.ok) return Http.problem(incoming, done.fault);
          Http.json(incoming, 200, { goodbye: id });
        },
      },
      {
        method: "GET",
        path: /^\/livez$/,
        *run(incoming) {
          Http.json(incoming, 200, { live: true });
        },
      },
      {
        method: "GET",
        path: /^\/readyz$/,
        *run(incoming) {
          const why = hooks.unreadyReason();
          if (why)
            Http.problem(incoming, {
              tag: "busy",
              step: "ready",
              member: host.id,
              detail: why,
              retryAfterMs: Constants.retryAfterMs,
            });
          else Http.json(incoming, 200, { ready: true });
        },
      },
      {
        method: "GET",
        path: /^\/metrics$/,
        *run(incoming) {
          incoming.send(200, { "content-type": "text/plain" }, Http.metricLines(hooks.metrics()));
        },
      },
    ];
  },
};
