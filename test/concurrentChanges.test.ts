import { Fault } from "../src/common/fault";
import { Csp, Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { ControlFleet } from "./controlFleet";

const configuration = (version: number, path = "/x"): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path } },
});

describe("concurrent changes of the configuration", () => {
  test("a change against a version that does not exist yet is never rejected, and is accepted once it does", async () => {
    const fleet = new ControlFleet(8, { controls: 4 });
    await fleet.run(3000);
    const put = async (version: number, ifVersion: number): Promise<number> =>
      (await fleet.send("PUT", "/v1/manifest", configuration(version), { "if-match": String(ifVersion) })).status;
    expect([await put(9, 5), await put(5, 0), await put(9, 5), await put(7, 5)]).toEqual([503, 200, 200, 412]);
    expect(fleet.close()).toEqual([]);
  });
  test("an order or a change whose log entry was replaced gets no definite response", async () => {
    const fleet = new ControlFleet(7, { controls: 4 });
    await fleet.run(3000);
    const { group } = fleet.control(fleet.leader()!)!;
    group.propose = function* () {
      return Fault.fail("conflict", "propose", "x", "entry was replaced");
    };
    const put = await fleet.send("PUT", "/v1/manifest", configuration(1), { "if-match": "0" });
    const drain = await fleet.send("POST", "/v1/districts/north/drain");
    expect([put.status, drain.status]).toEqual([504, 504]);
    expect(fleet.close()).toEqual([]);
  });
  test("exactly one of two concurrent changes is accepted, even if the leader is lost between append and commit, and retries get the same response", async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const { env, scope } = fleet.operator;
      const statuses = new Map<string, number>();
      const send = function* (path: string, ifVersion: number, attempt: number): Task<number> {
        const names = fleet.names("control");
        const name = names[(attempt + path.length + seed) % names.length];
        const response = yield* env.httpRequest(fleet.settings.get(name)!.http, {
          method: "PUT",
          path: "/v1/manifest",
          body: JSON.stringify(configuration(ifVersion + 1, path)),
          headers: { "if-match": String(ifVersion) },
          timeoutMs: 1000,
          newConnection: true,
        });
        return response.ok ? response.value.status : 0;
      };
      const retryUntilDecided = (path: string, ifVersion: number): void =>
        Csp.go(scope, path, function* () {
          for (let attempt = 0; ![200, 412].includes(statuses.get(path) ?? 0); attempt += 1) {
            statuses.set(path, yield* send(path, ifVersion, attempt));
            yield* EnvironmentTools.sleep(env, 50);
          }
        });
      const areDecided = (...paths: string[]): boolean =>
        paths.every((path) => [200, 412].includes(statuses.get(path) ?? 0));
      retryUntilDecided("/one", 0);
      retryUntilDecided("/other", 0);
      await fleet.run(1 + fleet.world.random() * 8);
      const leader = fleet.leader();
      if (leader) fleet.kill(leader, true);
      await fleet.run(1000);
      if (leader) fleet.restart(leader);
      expect(await fleet.until(() => areDecided("/one", "/other"), 12_000)).toBeDefined();
      expect([seed, [statuses.get("/one"), statuses.get("/other")].sort()]).toEqual([seed, [200, 412]]);
      const firstStatuses = new Map(statuses);
      for (let version = 1; version < 4; version += 1) {
        retryUntilDecided(`/next-${version}`, version);
        expect(await fleet.until(() => areDecided(`/next-${version}`), 8000)).toBeDefined();
      }
      for (const name of fleet.names("control")) fleet.kill(name, true);
      for (const name of fleet.names("control")) fleet.restart(name);
      for (const path of ["/one", "/other"]) statuses.delete(path);
      retryUntilDecided("/one", 0);
      retryUntilDecided("/other", 0);
      expect(await fleet.until(() => areDecided("/one", "/other"), 12_000)).toBeDefined();
      for (const path of ["/one", "/other"])
        expect([seed, path, statuses.get(path)]).toEqual([seed, path, firstStatuses.get(path)]);
      expect(fleet.close()).toEqual([]);
    }
  });
});
