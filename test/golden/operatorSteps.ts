import { goldenConfiguration, goldenPolicies } from "./configuration";
import { Exchange } from "./exchange";
import { GoldenFleet } from "./goldenFleet";

const FAR_FUTURE = "2040-01-01T00:00:00Z";

/** Sets the configuration and the policies. Valid changes alternate with changes that are rejected. */
export async function configure(golden: GoldenFleet): Promise<void> {
  const { call } = golden;
  const body = goldenConfiguration;
  await golden.waitFor("GET", "/v1/manifest");
  await call("PUT", "/v1/manifest", { body });
  await call("PUT", "/v1/manifest", { body: { bindings: { b: { kind: "magic" } } }, headers: { "if-match": "0" } });
  await call("PUT", "/v1/manifest", { body: "{", headers: { "if-match": "0" } });
  const change = { "if-match": '"0"', "x-change-id": "golden-1", "x-operator": "ann" };
  await golden.waitFor("PUT", "/v1/manifest", { body, headers: change });
  await call("PUT", "/v1/manifest", { body, headers: change });
  await call("PUT", "/v1/manifest", { body, headers: { "if-match": '"0"', "x-change-id": "golden-2" } });
  await call("GET", "/v1/manifest");
  const patch = { upsert: { bindings: { late: { kind: "lookup", pool: "desk", path: "/late" } } } };
  await call("PATCH", "/v1/manifest", { body: patch, headers: { "if-match": '"1"' } });
  await call("PATCH", "/v1/manifest", { body: { remove: { pools: ["desk"] } }, headers: { "if-match": '"2"' } });
  await call("PATCH", "/v1/manifest", { body: { remove: { bindings: ["late"] } }, headers: { "if-match": '"2"' } });
  await call("PUT", "/v1/policies", { body: goldenPolicies, headers: { "if-match": '"0"' } });
  await call("PUT", "/v1/policies", { body: [{ match: {} }], headers: { "if-match": '"1"' } });
  await call("GET", "/v1/policies");
  await call("GET", "/v1/changes/golden-1");
  await call("GET", "/v1/changes/nobody");
}
/** Adds planned operations to the calendar: one due now, the others in the far future. */
export async function scheduleOperations({ call }: GoldenFleet): Promise<void> {
  const put = (id: string, ifMatch: number, due: string, operation: Record<string, unknown>): Promise<Exchange> =>
    call("PUT", `/v1/calendar/${id}`, { body: { due, move: operation }, headers: { "if-match": `"${ifMatch}"` } });
  await put("later", 0, FAR_FUTURE, { kind: "drain", district: "west", until: 2_300_000_000_000 });
  await put("later", 0, FAR_FUTURE, { kind: "undrain", district: "west" });
  await put("odd", 0, "soon", { kind: "drain", district: "west" });
  await put("erased", 0, FAR_FUTURE, { kind: "retire", store: "store-9" });
  await call("DELETE", "/v1/calendar/erased", { headers: { "if-match": '"1"' } });
  await put("manifest", 0, FAR_FUTURE, { kind: "manifest", ifVersion: 3, doc: { bindings: {} } });
  await put("release", 0, "now", { kind: "release", pool: "desk", version: "v2", overMs: 1000 });
  await put("rollback", 0, FAR_FUTURE, { kind: "rollback", pool: "desk" });
  await call("GET", "/v1/calendar");
  await call("GET", "/v1/calendar/later");
  await call("GET", "/v1/calendar/nobody");
}
