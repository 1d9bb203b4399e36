import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ControlRequest } from "./controlRequest";
import { OrderDeadline, OrderDeadlines } from "./orderDeadline";

/** Action after a failed attempt. */
type NextStep =
  | { readonly kind: "retry"; readonly mayHaveRun: boolean }
  /** Retry at once at this member, which is the leader or knows more. */
  | { readonly kind: "redirect"; readonly address: string }
  /** The deadline refers to the clock of a process that is no longer the leader. */
  | { readonly kind: "readClockAgain" }
  | { readonly kind: "giveUp" };

type Failure = Extract<Result<never>, { ok: false }>;

const isRead = (request: ControlRequest): boolean => request.op === "read";

function nextStep(fault: Fault): NextStep {
  switch (fault.tag) {
    case "notLead":
      return { kind: "redirect", address: fault.detail }; // the detail is the leader's address, or empty
    case "refused":
      return { kind: "retry", mayHaveRun: false };
    case "late":
      return fault.detail === OrderDeadline.clockMismatch ? { kind: "readClockAgain" } : { kind: "giveUp" };
    case "timeout":
    case "broken":
    case "unknown":
      return { kind: "retry", mayHaveRun: true };
    default:
      return { kind: "giveUp" };
  }
}

/**
 * Sends requests to the control leader: finds it among the control members, follows redirects, and retries failed
 * attempts until the caller's time-out. An order contains a change id, so that it is applied only once in spite of
 * retries, and a deadline on the leader's clock, so that it is not carried out after its caller has stopped waiting.
 *
 * @example
 * const control = new ControlClient(env, rpc, () => addressesOfControlMembers);
 * const configuration = yield* control.request({ op: "read", what: "manifest" }, 4000);
 */
export class ControlClient {
  /** Address at which the leader responded last; empty if it is not known. */
  private leaderAddress = "";
  /** Time of that response, monotonic ms. */
  private leaderRespondedAt = -Infinity;
  private readonly deadlines: OrderDeadlines;

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    private readonly memberAddresses: () => string[],
  ) {
    this.deadlines = new OrderDeadlines(env, rpc);
  }

  /**
   * Sends one request. Faults: "unknown" if an order may have been carried out, "busy" if no leader was found,
   * otherwise the fault from the leader.
   *
   * @param timeoutMs time-out of all attempts together
   */
  *request<Response = unknown>(request: ControlRequest, timeoutMs: number): Task<Result<Response>> {
    const deadline = this.env.monotonicMs() + timeoutMs;
    let redirect = this.leaderAddress;
    let mayHaveRun = false;
    let last: Failure = Fault.fail("refused", "control", "control", "no control member is known");
    for (let attempt = 0; this.env.monotonicMs() < deadline; attempt += 1) {
      const members = this.memberAddresses();
      const address = redirect || members[attempt % Math.max(1, members.length)];
      redirect = "";
      if (address) {
        const response = yield* this.attempt<Response>(address, request, deadline);
        if (response.ok) {
          this.leaderAddress = address;
          this.leaderRespondedAt = this.env.monotonicMs();
          return response;
        }
        last = response;
        const step = nextStep(response.fault);
        if (step.kind === "giveUp") return response;
        if (step.kind !== "readClockAgain") this.leaderAddress = "";
        if (step.kind === "redirect") redirect = step.address;
        if (step.kind === "retry" && step.mayHaveRun) mayHaveRun = true;
        if (step.kind === "readClockAgain") {
          this.deadlines.forget();
          redirect = address;
        }
      }
      if (!redirect) yield* this.pause(deadline);
    }
    if (mayHaveRun && !isRead(request))
      return Fault.fail("unknown", "change", "control", "no answer in time: ask after it by its change id");
    return Fault.busy(
      "control",
      last.fault.member,
      `no control lead: ${last.fault.detail}`,
      2 * Constants.retryAfterMs,
    );
  }

  private pause(deadline: number): Task<void> {
    return EnvironmentTools.sleep(
      this.env,
      Math.max(0, Math.min(Constants.controlRetryMs, deadline - this.env.monotonicMs())),
    );
  }

  /** Makes one attempt, and abandons it at the deadline even while a connection is still being made. */
  private *attempt<Response>(address: string, request: ControlRequest, deadline: number): Task<Result<Response>> {
    const client = this;
    const response = Csp.chan<Result<Response>>(1);
    Csp.go(this.env.scope, "control request", function* () {
      Csp.offer(response, yield* client.send<Response>(address, request, deadline));
    });
    const inTime = yield* EnvironmentTools.takeWithin(
      this.env,
      response,
      Math.max(0, deadline - this.env.monotonicMs()),
    );
    return inTime ?? Fault.fail("timeout", "control", address, "no response while its caller waits");
  }

  private *send<Response>(address: string, request: ControlRequest, deadline: number): Task<Result<Response>> {
    const within = (limitMs: number): number => Math.min(limitMs, deadline - this.env.monotonicMs());
    if (this.env.monotonicMs() - this.leaderRespondedAt > Constants.leaderContactMaxAgeMs) this.deadlines.forget();
    // A node that has not responded lately may be silent for long, so it first has to respond to a clock reading.
    const leaderDeadline = yield* this.deadlines.at(address, deadline, within(Constants.controlSilenceMs));
    if (!leaderDeadline.ok)
      return leaderDeadline.fault.tag === "timeout"
        ? Fault.fail("refused", "control", address, "silent")
        : leaderDeadline;
    const timed = isRead(request) ? request : { ...request, deadline: leaderDeadline.value };
    return yield* this.call<Response>(address, timed, within(Constants.controlRequestTimeoutMs));
  }

  /** The type of the response depends on the request; the caller of `request` specifies it. */
  private call<Response>(address: string, request: ControlRequest, timeoutMs: number): Task<Result<Response>> {
    return this.rpc.call(address, "control.op", request, timeoutMs) as Task<Result<Response>>;
  }
}
