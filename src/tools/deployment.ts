import Ajv from "ajv";
import { parseConfiguration } from "../adapters/schemas/configurationSchemas";
import { parsePolicies } from "../adapters/schemas/policySchemas";
import { Configuration } from "../controlState/configuration";
import { PolicyRule } from "../controlState/policy";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { ProxiedProcess } from "./fleet/linkProxies";
import { EndpointSettings } from "./standInEndpoint";

export type Mix = {
  lookups: { binding: string; perSecond: number };
  streams: { binding: string; perSecond: number; prefixes: number; prefixBytes: number; pieces: number }[];
  singles: { binding: string; perSecond: number };
  lots: { binding: string; everyMs: number; items: number; endOneIn: number };
};
type Pool = Omit<EndpointSettings, "id" | "address" | "district" | "version" | "announceTo"> & { replicas: number };
export type Deployment = {
  cluster: string;
  districts: string[];
  ingresses: number;
  stores: number;
  controls: number;
  pools: Pool[];
  manifest: Configuration;
  policies: PolicyRule[];
  mix: Mix;
};
export type ProcessPlan = { name: string; settings: Settings };
export type DeploymentPlan = {
  proxied: ProxiedProcess[];
  processes: ProcessPlan[];
  endpoints: EndpointSettings[];
  ingressHttp: string[];
  controlHttp: string[];
};
const positive = { type: "number", exclusiveMinimum: 0 };
const whole = { type: "integer", minimum: 1, maximum: 200 };
const ms = { type: "number", minimum: 0 };
const stringy = { type: "string", minLength: 1 };
const object = (properties: Record<string, unknown>): unknown => ({
  type: "object",
  additionalProperties: false,
  required: Object.keys(properties),
  properties,
});
const check = new Ajv({ allErrors: true, strict: false }).compile(
  object({
    cluster: stringy,
    districts: { type: "array", items: stringy, minItems: 1, uniqueItems: true },
    ingresses: whole,
    stores: whole,
    controls: whole,
    pools: {
      type: "array",
      minItems: 1,
      items: object({
        pool: stringy,
        replicas: whole,
        capacity: whole,
        prefillMs: ms,
        prefillCachedMs: ms,
        pieceMs: ms,
        pieces: whole,
        itemMs: ms,
      }),
    },
    manifest: { type: "object" },
    policies: { type: "array" },
    mix: object({
      lookups: object({ binding: stringy, perSecond: positive }),
      streams: {
        type: "array",
        items: object({
          binding: stringy,
          perSecond: positive,
          prefixes: whole,
          prefixBytes: { type: "integer", minimum: 1 },
          pieces: whole,
        }),
      },
      singles: object({ binding: stringy, perSecond: positive }),
      lots: object({ binding: stringy, everyMs: positive, items: whole, endOneIn: whole }),
    }),
  }) as object,
);

/**
 * A whole deployment on one machine: which processes, with which settings.
 *
 * @example
 * const deployment = Deployment.check(JSON.parse(text));
 * if (deployment.ok) Deployment.plan(deployment.value, 7000, "run").processes;
 */
export const Deployment = {
  check(candidate: unknown): Result<Deployment> {
    const wrong = (paths: string[]): Result<Deployment> => ({
      ok: false,
      fault: { tag: "invalid", step: "check deployment", member: "deployment", detail: "deployment is wrong", paths },
    });
    if (!check(candidate))
      return wrong(
        (check.errors ?? []).map(
          (error) => `${error.instancePath || "/"}: ${error.message} ${JSON.stringify(error.params)}`,
        ),
      );
    const deployment = candidate as Deployment;
    const configuration = parseConfiguration(deployment.manifest);
    if (!configuration.ok) return configuration;
    const policies = parsePolicies(deployment.policies);
    if (!policies.ok) return policies;
    return Fault.ok(deployment);
  },
  /** Three seeds: the first control members and the first store. @example Deployment.plan(deployment, 7000, "run") */
  plan(deployment: Deployment, basePort: number, folder: string, proxies = false): DeploymentPlan {
    let port = basePort;
    const next = (): string => `127.0.0.1:${(port += 1)}`;
    const zone = (at: number): string => deployment.districts[at % deployment.districts.length];
    const make = (count: number): { address: string; http: string }[] =>
      Array.from({ length: count }, () => ({ address: next(), http: next() }));
    const controls = make(deployment.controls);
    const stores = make(deployment.stores);
    const agents = make(deployment.ingresses);
    const ingresses = make(deployment.ingresses);
    const seeds = [controls[0], controls[1 % controls.length], stores[0]]
      .map((place) => place.address)
      .filter((seed, at, all) => all.indexOf(seed) === at);
    const common = { cluster: deployment.cluster, seeds };
    const processes: ProcessPlan[] = [
      ...controls.map((place, at): ProcessPlan => ({
        name: `control-${at + 1}`,
        settings: {
          program: "control",
          district: zone(at),
          ...common,
          ...place,
          data: `${folder}/control-${at + 1}`,
          founders: controls.map((each) => each.address),
        },
      })),
      ...stores.map((place, at): ProcessPlan => ({
        name: `store-${at + 1}`,
        settings: { program: "store", district: zone(at), ...common, ...place, data: `${folder}/store-${at + 1}` },
      })),
      ...agents.map((place, at): ProcessPlan => ({
        name: `agent-${at + 1}`,
        settings: { program: "agent", district: zone(at), ...common, ...place },
      })),
      ...ingresses.map((place, at): ProcessPlan => ({
        name: `ingress-${at + 1}`,
        settings: {
          program: "ingress",
          cluster: deployment.cluster,
          district: zone(at),
          ...place,
          agent: agents[at].address,
        },
      })),
    ];
    const proxied: ProxiedProcess[] = [];
    if (proxies)
      for (const each of processes.filter((every) => every.settings.program !== "ingress")) {
        each.settings.bind = next();
        const beside = processes.find((every) => every.settings.agent === each.settings.address);
        if (beside) beside.settings.agent = each.settings.bind; // same machine: their link is no link that is cut
        proxied.push({
          name: each.name,
          cluster: deployment.cluster,
          address: each.settings.address,
          bind: each.settings.bind,
        });
      }
    const ingressHttp = ingresses.map((place) => place.http);
    const endpoints = deployment.pools.flatMap((pool) =>
      Array.from({ length: pool.replicas }, (_each, at): EndpointSettings => {
        const { replicas: _count, ...rest } = pool;
        return {
          ...rest,
          id: `${pool.pool}-${at + 1}`,
          address: next(),
          district: zone(at),
          version: "v1",
          announceTo: ingressHttp,
        };
      }),
    );
    return { proxied, processes, endpoints: endpoints, ingressHttp, controlHttp: controls.map((place) => place.http) };
  },
};
