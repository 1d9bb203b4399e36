import { Csp, Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { History } from "../tools/history";
import { ConfigurationBody, LedgerPage, markersOf, OperatedFleet, SimOperator } from "./simOperator";

/** Interval between samples of the configuration in force, ms. */
const SAMPLE_PERIOD_MS = 400;
const SAMPLE_TIMEOUT_MS = 400;
/** Interval between reads of the new ledger entries, ms. */
const LEDGER_READ_PERIOD_MS = 700;
const LEDGER_TIMEOUT_MS = 1500;
const LEDGER_PAGE_SIZE = 1000;
const FINAL_LEDGER_PAGE_SIZE = 1500;
const FINAL_LEDGER_MAX_PAGES = 30;
/** The number of ingresses whose whole ledger is read at the end of a run. */
const FINAL_LEDGER_READERS = 2;

/**
 * Reads a simulated fleet while it runs, and records for the checker which configuration is in force at each ingress, and
 * the entries of the ledger.
 *
 * @example
 * const observer = new FleetObserver(fleet, operator, history);
 * observer.start();
 * await observer.readBack();
 */
export class FleetObserver {
  private readonly ledgerStampsRead: string[] = [];

  constructor(
    private readonly fleet: OperatedFleet,
    private readonly operator: SimOperator,
    private readonly history: History,
  ) {}

  start(): void {
    const { scope } = this.operator.process;
    Csp.go(scope, "sample configurations", () => this.sampleConfigurations());
    Csp.go(scope, "follow the ledger", () => this.readLedgerContinuously());
  }

  /** Records the configuration and the ledger at the end of a run. */
  async readBack(): Promise<void> {
    const { fleet, history, operator } = this;
    const response = await operator.send("GET", "/v1/manifest");
    const configuration = response?.status === 200 ? (response.body as ConfigurationBody) : undefined;
    const mark = configuration ? markersOf(configuration.doc) : "";
    history.add({ tag: "dayEnd", at: fleet.wallMs(), version: configuration?.version ?? 0, mark });
    history.add({ tag: "ledger", at: fleet.wallMs(), ingress: "the follower", stamps: this.ledgerStampsRead });
    for (const address of fleet.plan.ingressHttp.slice(0, FINAL_LEDGER_READERS)) {
      const stamps = await operator.readLedger(address, FINAL_LEDGER_PAGE_SIZE, FINAL_LEDGER_MAX_PAGES);
      history.add({ tag: "ledger", at: fleet.wallMs(), ingress: address, stamps });
    }
  }

  private *sampleConfigurations(): Task<void> {
    for (;;) {
      for (const address of this.fleet.plan.ingressHttp) {
        const request = { method: "GET", path: "/v1/inforce", address, timeoutMs: SAMPLE_TIMEOUT_MS };
        const response = yield* this.operator.request(request);
        if (response?.status !== 200) continue;
        const { manifest } = response.body as { manifest: ConfigurationBody };
        const mark = markersOf(manifest.doc);
        this.history.add({ tag: "inForce", at: this.fleet.wallMs(), node: address, version: manifest.version, mark });
      }
      yield* EnvironmentTools.sleep(this.operator.process.env, SAMPLE_PERIOD_MS);
    }
  }

  /** Reads new ledger entries from the ingresses in turn. The final ledger must contain them all in the same order. */
  private *readLedgerContinuously(): Task<void> {
    const addresses = this.fleet.plan.ingressHttp;
    let after = "";
    for (let turn = 0; ; turn += 1) {
      const path = `/v1/ledger?limit=${LEDGER_PAGE_SIZE}&after=${encodeURIComponent(after)}`;
      const address = addresses[turn % addresses.length];
      const response = yield* this.operator.request({ method: "GET", path, address, timeoutMs: LEDGER_TIMEOUT_MS });
      if (response?.status === 200) {
        const { entries, next } = response.body as LedgerPage;
        if (entries.length > 0) {
          this.ledgerStampsRead.push(...entries.map((entry) => entry.stamp));
          after = next;
        }
      }
      yield* EnvironmentTools.sleep(this.operator.process.env, LEDGER_READ_PERIOD_MS);
    }
  }
}
