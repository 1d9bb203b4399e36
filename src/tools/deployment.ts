import Ajv from "ajv";
import { parseConfiguration } from "../adapters/schemas/configurationSchemas";
import { parsePolicies } from "../adapters/schemas/policySchemas";
import { Configuration } from "../controlState/configuration";
import { PolicyRule } from "../controlState/policy";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";
import { ProxiedProcess } from "./fleet/linkProxies";
import { EndpointSettings } from "./standInEndpoint";

/** The requests that simulated callers send. */
export type TrafficMix = {
  lookups: { binding: string; perSecond: number };
  streams: { binding: string; perSecond: number; prefixes: number; prefixBytes: number; pieces: number }[];
  singles: { binding: string; perSecond: number };
  lots: { binding: string; everyMs: number; items: number; endOneIn: number };
};
/** A pool of endpoints with equal settings; `replicas` is their number. */
type Pool = Omit<EndpointSettings, "id" | "address" | "district" | "version" | "announceTo"> & { replicas: number };
/** The content of a deployment file. */
export type Deployment = {
  cluster: string;
  districts: string[];
  ingresses: number;
  stores: number;
  controls: number;
  pools: Pool[];
  manifest: Configuration;
  policies: PolicyRule[];
  mix: TrafficMix;
};
/** A process of a deployment, and its settings. */
export type ProcessPlan = { name: string; settings: Settings };
/** The processes and endpoints of a deployment on one machine, with their addresses. */
export type DeploymentPlan = {
  /** The processes that other processes reach through a proxy; empty without proxies. */
  proxied: ProxiedProcess[];
  processes: ProcessPlan[];
  endpoints: EndpointSettings[];
  /** Addresses of the HTTP listeners of the ingresses, `IP:port`. */
  ingressHttp: string[];
  /** Addresses of the HTTP listeners of the control nodes, `IP:port`. */
  controlHttp: string[];
};
const positiveNumber = { type: "number", exclusiveMinimum: 0 };
const count = { type: "integer", minimum: 1, maximum: 200 };
const milliseconds = { type: "number", minimum: 0 };
const nonEmptyString = { type: "string", minLength: 1 };
const objectWith = (properties: Record<string, unknown>): unknown => ({
  type: "object",
  additionalProperties: false,
  required: Object.keys(properties),
  properties,
});
const validate = new Ajv({ allErrors: true, strict: false }).compile(
  objectWith({
    cluster: nonEmptyString,
    districts: { type: "array", items: nonEmptyString, minItems: 1, uniqueItems: true },
    ingresses: count,
    stores: count,
    controls: count,
    pools: {
      type: "array",
      minItems: 1,
      items: objectWith({
        pool: nonEmptyString,
        replicas: count,
        capacity: count,
        prefillMs: milliseconds,
        prefillCachedMs: milliseconds,
        pieceMs: milliseconds,
        pieces: count,
        itemMs: milliseconds,
      }),
    },
    manifest: { type: "object" },
    policies: { type: "array" },
    mix: objectWith({
      lookups: objectWith({ binding: nonEmptyString, perSecond: positiveNumber }),
      streams: {
        type: "array",
        items: objectWith({
          binding: nonEmptyString,
          perSecond: positiveNumber,
          prefixes: count,
          prefixBytes: { type: "integer", minimum: 1 },
          pieces: count,
        }),
      },
      singles: objectWith({ binding: nonEmptyString, perSecond: positiveNumber }),
      lots: objectWith({ binding: nonEmptyString, everyMs: positiveNumber, items: count, endOneIn: count }),
    }),
  }) as object,
);

/**
 * Validates deployment files, and plans the processes of a deployment on one machine with their settings.
 *
 * @example
 * const deployment = Deployment.check(JSON.parse(text));
 * if (deployment.ok) Deployment.plan(deployment.value, 7000, "run").processes;
 */
export const Deployment = {
  /** Validates the content of a deployment file, including its configuration and policies. */
  check(candidate: unknown): Result<Deployment> {
    const invalid = (paths: string[]): Result<Deployment> => ({
      ok: false,
      fault: { tag: "invalid", step: "check deployment", member: "deployment", detail: "deployment is wrong", paths },
    });
    if (!validate(candidate))
      return invalid(
        (validate.errors ?? []).map(
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
  /**
   * Plans the processes with consecutive ports after `basePort`, their zones assigned in turn. The seeds are the first two
   * control nodes and the first storage node.
   *
   * @param folder parent of the data folders of the processes
   * @param proxies whether each cluster member listens at its own address behind a proxy at its announced address
   */
  plan(deployment: Deployment, basePort: number, folder: string, proxies = false): DeploymentPlan {
    let port = basePort;
    const nextAddress = (): string => `127.0.0.1:${(port += 1)}`;
    const zoneOf = (index: number): string => deployment.districts[index % deployment.districts.length];
    const allocateAddresses = (length: number): { address: string; http: string }[] =>
      Array.from({ length }, () => ({ address: nextAddress(), http: nextAddress() }));
    const controls = allocateAddresses(deployment.controls);
    const stores = allocateAddresses(deployment.stores);
    const agents = allocateAddresses(deployment.ingresses);
    const ingresses = allocateAddresses(deployment.ingresses);
    const seeds = [controls[0], controls[1 % controls.length], stores[0]]
      .map((node) => node.address)
      .filter((seed, index, all) => all.indexOf(seed) === index);
    const common = { cluster: deployment.cluster, seeds };
    const processes: ProcessPlan[] = [
      ...controls.map((node, index): ProcessPlan => ({
        name: `control-${index + 1}`,
        settings: {
          program: "control",
          district: zoneOf(index),
          ...common,
          ...node,
          data: `${folder}/control-${index + 1}`,
          founders: controls.map((control) => control.address),
        },
      })),
      ...stores.map((node, index): ProcessPlan => ({
        name: `store-${index + 1}`,
        settings: {
          program: "store",
          district: zoneOf(index),
          ...common,
          ...node,
          data: `${folder}/store-${index + 1}`,
        },
      })),
      ...agents.map((node, index): ProcessPlan => ({
        name: `agent-${index + 1}`,
        settings: { program: "agent", district: zoneOf(index), ...common, ...node },
      })),
      ...ingresses.map((node, index): ProcessPlan => ({
        name: `ingress-${index + 1}`,
        settings: {
          program: "ingress",
          cluster: deployment.cluster,
          district: zoneOf(index),
          ...node,
          agent: agents[index].address,
        },
      })),
    ];
    const proxied: ProxiedProcess[] = [];
    if (proxies)
      for (const member of processes.filter((process) => process.settings.program !== "ingress")) {
        member.settings.bind = nextAddress();
        // An ingress and its agent run on the same machine, so their link bypasses the proxy and is never cut.
        const ingress = processes.find((process) => process.settings.agent === member.settings.address);
        if (ingress) ingress.settings.agent = member.settings.bind;
        proxied.push({
          name: member.name,
          cluster: deployment.cluster,
          address: member.settings.address,
          bind: member.settings.bind,
        });
      }
    const ingressHttp = ingresses.map((node) => node.http);
    const endpoints = deployment.pools.flatMap((pool) =>
      Array.from({ length: pool.replicas }, (_item, index): EndpointSettings => {
        const { replicas: _count, ...rest } = pool;
        return {
          ...rest,
          id: `${pool.pool}-${index + 1}`,
          address: nextAddress(),
          district: zoneOf(index),
          version: "v1",
          announceTo: ingressHttp,
        };
      }),
    );
    return { proxied, processes, endpoints, ingressHttp, controlHttp: controls.map((node) => node.http) };
  },
};
