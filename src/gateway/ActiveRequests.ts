import type {
  BalancerEffect,
  BalancerEvent,
  ForwardResult,
  LogEffect,
  SendingFacts,
} from '../balancing/index.js';
import { shortenId } from '../balancing/index.js';
import type { AttemptId, RequestId } from '../core/model/index.js';
import type { Clock, TimerService } from '../timing/index.js';
import { writeTargetHeaders } from '../platform/index.js';
import type { AnswerTransfer } from './AnswerTransfer.js';
import type { BodyMemory } from './BodyMemory.js';
import type { CallerExchange } from './CallerExchange.js';
import type { TargetAgents } from './TargetAgents.js';
import { classifyForwardHead, toForwardResult } from './classifyForwardHead.js';
import { FORWARD_HEADER, writeForwardTerms } from './forwardHeaders.js';
import type { TargetAnswer } from './TargetRequest.js';
import { classifyTargetHead, TargetRequest } from './TargetRequest.js';

type SendAttemptEffect = Extract<BalancerEffect, { kind: 'sendAttempt' }>;
type DeliverEffect = Extract<BalancerEffect, { kind: 'deliver' }>;
type ForwardEffect = Extract<BalancerEffect, { kind: 'forwardRequest' }>;

/** Interval at which answers that take too long are looked for, in milliseconds. */
const LATE_CHECK_MS = 250;

/** Dependencies of `ActiveRequests`. */
export interface ActiveRequestsParts {
  /** Connection pools of the targets. */
  readonly agents: TargetAgents;
  /** Connection pools of other entry VMs. */
  readonly vmAgents: TargetAgents;
  /** Clock for deadlines and the time of load readings. */
  readonly clock: Clock;
  /** Memory for answers. */
  readonly memory: BodyMemory;
  /** Receives an event when an attempt ends. */
  readonly dispatch: (event: BalancerEvent) => void;
  /** Logs answers that are broken off or skipped. */
  readonly log: (effect: LogEffect) => void;
}

/**
 * Callers' requests until their answers have been sent completely, and the attempts at targets made
 * for them.
 */
export class ActiveRequests {
  /** @internal */
  private readonly exchanges = new Map<RequestId, CallerExchange>();

  /** @internal */
  private readonly attempts = new Map<AttemptId, TargetRequest>();

  /** @internal */
  private lastRequestId = 0;

  /** Answers that are being sent. @internal */
  private readonly transfers = new Set<AnswerTransfer>();

  /** @param parts - Connection pools, clock, memory and callbacks. */
  constructor(private readonly parts: ActiveRequestsParts) {}

  /** Number of requests whose answers have not been sent completely. */
  get size(): number {
    return this.exchanges.size + this.transfers.size;
  }

  /**
   * Adds a request.
   * @param exchange - The request.
   * @returns The id of the request within this process.
   */
  add(exchange: CallerExchange): RequestId {
    this.lastRequestId += 1;
    this.exchanges.set(this.lastRequestId, exchange);
    return this.lastRequestId;
  }

  /**
   * Returns the request id set by the caller, if any.
   * @param request - The id of the request within this process.
   */
  getCallerRequestId(request: RequestId): string | undefined {
    return this.exchanges.get(request)?.callerRequestId;
  }

  /** Removes a request whose caller disconnected. */
  remove(request: RequestId): void {
    this.exchanges.delete(request);
  }

  /** Sends a request to a target. Does nothing if the request is no longer open. */
  startAttempt({ request, attempt, to, allowedMs, organisation }: SendAttemptEffect): void {
    const exchange = this.exchanges.get(request);
    if (exchange === undefined) return;
    const { req, body, callerRequestId } = exchange;
    const headers = exchange.getTargetHeaders(organisation);
    const targetRequest = new TargetRequest({
      agent:
        callerRequestId === undefined ? this.parts.agents.unshared : this.parts.agents.getAgent(to),
      clock: this.parts.clock,
      memory: this.parts.memory,
      address: to.address,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: writeTargetHeaders(headers, to.target, allowedMs, body?.length),
      body,
      callerRequestId,
      classifyHead: (head) => classifyTargetHead(callerRequestId, head),
      onSkip: ({ callerRequestId: id, status }) => {
        const answeredId = id === undefined ? undefined : shortenId(id);
        const fields = { id: callerRequestId, attempt, target: to.target, answeredId, status };
        this.parts.log({ kind: 'log', event: 'answer.skipped', fields });
      },
      onEnd: (end, trace) => {
        const facts = trace.describe(callerRequestId, end.kind);
        this.parts.dispatch({ kind: 'attemptEnded', attempt, end, facts });
        this.removeAttempt(attempt);
      },
      onLateStatements: (statements) => {
        const { target, bornAt } = to;
        this.parts.dispatch({ kind: 'statementsRead', target, bornAt, statements });
      },
    });
    this.attempts.set(attempt, targetRequest);
  }

  /**
   * Passes a request on to another VM. Does nothing if the request is no longer open.
   * @param effect - What is passed on.
   * @param address - Address of the VM for callers; undefined if the VM is not known any more.
   */
  startForward(effect: ForwardEffect, address: string | undefined): void {
    const { request, attempt, vm, allowedMs, terms } = effect;
    const exchange = this.exchanges.get(request);
    if (exchange === undefined) return;
    const finish = (end: ForwardResult, facts?: SendingFacts): void => {
      this.parts.dispatch({ kind: 'forwardEnded', attempt, end, facts });
      this.removeAttempt(attempt);
    };
    if (address === undefined) {
      finish({ kind: 'unsent' });
      return;
    }
    const { req, vmHeaders, body, callerRequestId } = exchange;
    let result: ForwardResult | undefined;
    const vmRequest = new TargetRequest({
      agent:
        callerRequestId === undefined
          ? this.parts.vmAgents.unshared
          : this.parts.vmAgents.getAgent({ target: vm, bornAt: 0, address }),
      clock: this.parts.clock,
      memory: this.parts.memory,
      address,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: [
        ...writeTargetHeaders(vmHeaders, undefined, allowedMs, body?.length),
        FORWARD_HEADER,
        writeForwardTerms(terms),
      ],
      body,
      classifyHead: (head) => {
        result = classifyForwardHead(callerRequestId, head);
        return result && { kind: result.kind === 'broken' ? 'spoilt' : 'rejected' };
      },
      onEnd: (end, trace) =>
        finish(toForwardResult(end, result), trace.describe(callerRequestId, end.kind)),
    });
    this.attempts.set(attempt, vmRequest);
  }

  /** Cancels an attempt or a forward. */
  cancelAttempt(attempt: AttemptId): void {
    this.attempts.get(attempt)?.cancel();
    this.attempts.delete(attempt);
  }

  /**
   * Forwards the answer that an attempt received to the caller.
   * @param effect - The request, the attempt, and when the caller must have the answer.
   */
  deliver({ request, attempt, deadlineAt }: DeliverEffect): void {
    const exchange = this.exchanges.get(request);
    const answer = this.attempts.get(attempt)?.answer;
    if (exchange !== undefined && answer !== undefined) {
      this.attempts.delete(attempt);
      this.startTransfer(exchange, answer, deadlineAt);
    }
    this.exchanges.delete(request);
  }

  /** Starts to look for answers that callers should have by now. */
  start(timers: TimerService): void {
    timers.subscribe(LATE_CHECK_MS, () => this.endLateTransfers());
  }

  /**
   * Breaks off the answers that have not reached their callers, as the process stops.
   * @returns Number of requests that were still open.
   */
  stop(): number {
    const { size } = this;
    for (const transfer of this.transfers) transfer.stop();
    return size;
  }

  /** @internal */
  private endLateTransfers(): void {
    const now = this.parts.clock.now();
    for (const transfer of this.transfers) transfer.checkTime(now);
  }

  /** @internal */
  private startTransfer(exchange: CallerExchange, answer: TargetAnswer, deadlineAt: number): void {
    const { clock, log } = this.parts;
    const startedAt = clock.now();
    const { callerRequestId: id } = exchange;
    const { status, passOnReason } = answer;
    if (passOnReason !== undefined) {
      log({ kind: 'log', event: 'answer.passedOn', fields: { id, status, ...passOnReason } });
    }
    const transfer = exchange.deliver(answer, deadlineAt, (reason) => {
      this.transfers.delete(transfer);
      if (reason === 'complete') return;
      const tookMs = Math.round(clock.now() - startedAt);
      const fields = { id, status, reason, tookMs };
      log({ kind: 'log', event: 'answer.cut', fields });
    });
    this.transfers.add(transfer);
  }

  /** Removes an attempt; an answer that was not delivered ends with it. @internal */
  private removeAttempt(attempt: AttemptId): void {
    this.attempts.get(attempt)?.discardAnswer();
    this.attempts.delete(attempt);
  }

  /** Answers a request with an error of this entry VM's own. */
  answer(request: RequestId, status: number, reason: string, retryAfterMs?: number): void {
    this.exchanges.get(request)?.answer(status, reason, retryAfterMs);
    this.exchanges.delete(request);
  }
}
