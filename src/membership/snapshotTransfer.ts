import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ConfigurationPatch } from "../controlState/configurationPatch";
import { ControlSnapshot } from "../controlState/controlSnapshot";
import { GroupRecovery } from "../controlState/groupRecovery";
import { Rpc } from "../rpc/rpc";
import { Environment } from "../runtime/env";
import { Task } from "../runtime/csp";
import { ConfigurationStep, SnapshotRequest, SnapshotResponse } from "./gossipMessages";
import { SnapshotAnnouncements } from "./snapshotAnnouncements";
import { SnapshotFetcher } from "./snapshotFetcher";

type VersionedConfiguration = ControlSnapshot["manifest"];

/**
 * Keeps the newest control snapshot that this member knows, and transfers it between members. Gossip carries only the
 * index of the snapshot; a member with a lower index fetches the snapshot. The response contains the configuration in
 * full, as steps from the requester's version, or not at all if it is unchanged.
 */
export class SnapshotTransfer {
  /** The latest changes of the configuration, oldest first; each starts at the version at which the one before ends. */
  private steps: ConfigurationStep[] = [];
  readonly announcements: SnapshotAnnouncements;
  private readonly fetcher: SnapshotFetcher;
  private current: ControlSnapshot | undefined;

  /**
   * @param onReplaced called after a newer snapshot has replaced the current one
   * @param onSourcesExhausted called when no member that announced a newer snapshot could be fetched from
   */
  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    private readonly onReplaced: () => void,
    onSourcesExhausted: () => void,
  ) {
    this.announcements = new SnapshotAnnouncements(env);
    this.fetcher = new SnapshotFetcher(env, {
      ownIndex: () => this.index,
      fetch: (address) => this.fetch(address),
      sourcesExhausted: onSourcesExhausted,
    });
  }

  /** Registers the handler of fetches and starts the task that fetches announced snapshots. */
  start(): void {
    this.rpc.handle("frame.fetch", (request) => this.onFetch(request));
    this.fetcher.start();
  }

  get snapshot(): ControlSnapshot | undefined {
    return this.current;
  }

  /** Log index of the snapshot; 0 if there is none. */
  get index(): number {
    return this.current?.index ?? 0;
  }

  /**
   * Replaces the current snapshot by a newer one; returns false if it is not newer.
   * @param steps changes of the configuration since the current snapshot
   */
  offer(snapshot: ControlSnapshot, steps?: ConfigurationStep[]): boolean {
    const known = this.current;
    if (known && !SnapshotTransfer.isNewer(snapshot, known)) return false;
    this.rememberSteps(known, snapshot, steps);
    this.current = snapshot;
    const announcedMs = Math.round(this.announcements.adopted(snapshot.index));
    this.env.log(1601, { index: snapshot.index, manifest: snapshot.manifest.version, announcedMs });
    this.env.faultPoint(21);
    this.onReplaced();
    return true;
  }

  /** Records which snapshot a member has, and fetches it if it is newer. */
  announced(address: string, index: number): void {
    this.announcements.record(address, index, this.index);
    this.fetcher.announced(address, index);
  }

  private *fetch(address: string): Task<void> {
    const known = this.current;
    const request: SnapshotRequest = {
      have: known?.index ?? 0,
      group: known?.group ?? "",
      manifest: known?.manifest.version ?? -1,
    };
    const fetched = yield* this.rpc.call(address, "frame.fetch", request, Constants.snapshotFetchTimeoutMs);
    if (!fetched.ok) return this.logFailedFetch(address, fetched.fault);
    if (!fetched.value) return;
    const { steps, ...snapshot } = fetched.value;
    const configuration = snapshot.manifest ?? SnapshotTransfer.configurationAfter(known?.manifest, steps);
    if (configuration) this.offer({ ...snapshot, manifest: configuration }, steps);
  }

  private logFailedFetch(address: string, fault: Fault): void {
    const behindMs = Math.round(this.announcements.behindMs());
    const index = this.announcements.highestIndex;
    this.env.log(1604, { from: address, index, own: this.index, behindMs, fault: fault.tag });
  }

  private *onFetch(request: SnapshotRequest): Task<Result<SnapshotResponse | null>> {
    const snapshot = this.current;
    if (!snapshot || snapshot.index <= request.have) return Fault.ok(null);
    if (snapshot.group !== request.group) return Fault.ok(snapshot);
    const { manifest: configuration, ...rest } = snapshot;
    if (configuration.version === request.manifest) return Fault.ok(rest);
    const steps = this.stepsFrom(request.manifest);
    const changedRoutes = steps.reduce((sum, step) => sum + Object.keys(step.patch.upsert.bindings ?? {}).length, 0);
    const allRoutes = Object.keys(configuration.doc.bindings).length;
    const inFull = steps.length === 0 || changedRoutes * 2 > allRoutes;
    return Fault.ok(inFull ? snapshot : { ...rest, steps });
  }

  private static isNewer(snapshot: ControlSnapshot, known: ControlSnapshot): boolean {
    if (snapshot.index <= known.index) return false;
    return snapshot.group === known.group || GroupRecovery.supersedes(snapshot.group, known.group);
  }

  private rememberSteps(known: ControlSnapshot | undefined, snapshot: ControlSnapshot, steps?: ConfigurationStep[]) {
    const [from, to] = [known?.manifest, snapshot.manifest];
    const sameGroup = known?.group === snapshot.group;
    if (from && sameGroup && from.version === to.version) return;
    if (!from || !sameGroup) this.steps = [];
    else if (steps) this.steps = SnapshotTransfer.extended(this.steps, steps, from.version);
    else {
      const patch = ConfigurationPatch.between(from.doc, to.doc);
      if (patch) this.steps.push({ from: from.version, to: to.version, patch });
      else this.steps = [];
    }
    this.steps.splice(0, this.steps.length - Constants.configurationStepsRetained);
  }

  /** Returns the known steps with those of a response from this version on; another fetch may have brought the earlier ones. */
  private static extended(known: ConfigurationStep[], fetched: ConfigurationStep[], from: number): ConfigurationStep[] {
    const first = fetched.findIndex((step) => step.from === from);
    return first < 0 ? [] : [...known, ...fetched.slice(first)];
  }

  /** Returns the steps from this version to the newest; empty if they are no longer retained. */
  private stepsFrom(version: number | undefined): ConfigurationStep[] {
    const first = this.steps.findIndex((step) => step.from === version);
    return first < 0 ? [] : this.steps.slice(first);
  }

  private static configurationAfter(
    known: VersionedConfiguration | undefined,
    steps: ConfigurationStep[] | undefined,
  ): VersionedConfiguration | undefined {
    if (!known || !steps) return known;
    return {
      version: steps[steps.length - 1].to,
      doc: steps.reduce((doc, step) => ConfigurationPatch.apply(doc, step.patch), known.doc),
    };
  }
}
