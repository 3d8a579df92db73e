import type { BalancerEffect, BalancerEvent, ForwardResult } from '../balancing/index.js';
import type { AttemptId, RequestId } from '../core/model/index.js';
import type { Clock } from '../timing/index.js';
import { writeTargetHeaders } from '../platform/index.js';
import type { CallerExchange } from './CallerExchange.js';
import type { TargetAgents } from './TargetAgents.js';
import { classifyForwardHead, toForwardResult } from './classifyForwardHead.js';
import { FORWARD_HEADER, writeForwardTerms } from './forwardHeaders.js';
import { classifyTargetHead, TargetRequest } from './TargetRequest.js';

type SendAttemptEffect = Extract<BalancerEffect, { kind: 'sendAttempt' }>;
type ForwardEffect = Extract<BalancerEffect, { kind: 'forwardRequest' }>;

/** Callers' requests that have not been answered yet, and the attempts at targets made for them. */
export class ActiveRequests {
  /** @internal */
  private readonly exchanges = new Map<RequestId, CallerExchange>();

  /** @internal */
  private readonly attempts = new Map<AttemptId, TargetRequest>();

  /** @internal */
  private lastRequestId = 0;

  /**
   * @param agents - Connection pools of the targets.
   * @param vmAgents - Connection pools of other entry VMs.
   * @param clock - Clock for the time of load readings.
   * @param dispatch - Receives an event when an attempt ends.
   */
  constructor(
    private readonly agents: TargetAgents,
    private readonly vmAgents: TargetAgents,
    private readonly clock: Clock,
    private readonly dispatch: (event: BalancerEvent) => void,
  ) {}

  /** Number of requests that have not been answered yet. */
  get size(): number {
    return this.exchanges.size;
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
      agent: callerRequestId === undefined ? this.agents.unshared : this.agents.getAgent(to),
      clock: this.clock,
      address: to.address,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: writeTargetHeaders(headers, to.target, allowedMs, body?.length),
      body,
      classifyHead: (head) => classifyTargetHead(callerRequestId, head),
      onEnd: (end) => {
        this.dispatch({ kind: 'attemptEnded', attempt, end });
        this.attempts.delete(attempt);
      },
      onLateStatements: (statements) => {
        const { target, bornAt } = to;
        this.dispatch({ kind: 'statementsRead', target, bornAt, statements });
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
    const finish = (end: ForwardResult): void => {
      this.dispatch({ kind: 'forwardEnded', attempt, end });
      this.attempts.delete(attempt);
    };
    if (address === undefined) {
      finish({ kind: 'unsent' });
      return;
    }
    const { req, vmHeaders, body, callerRequestId } = exchange;
    let result: ForwardResult | undefined;
    const vmRequest = new TargetRequest({
      agent: this.vmAgents.getAgent({ target: vm, bornAt: 0, address }),
      clock: this.clock,
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
      onEnd: (end) => finish(toForwardResult(end, result)),
    });
    this.attempts.set(attempt, vmRequest);
  }

  /** Cancels an attempt or a forward. */
  cancelAttempt(attempt: AttemptId): void {
    this.attempts.get(attempt)?.cancel();
    this.attempts.delete(attempt);
  }

  /** Forwards the answer that an attempt received to the caller. */
  deliver(request: RequestId, attempt: AttemptId): void {
    const exchange = this.exchanges.get(request);
    const answer = this.attempts.get(attempt)?.answer;
    if (exchange !== undefined && answer !== undefined) exchange.deliver(answer);
    this.exchanges.delete(request);
  }

  /** Answers a request with an error of this entry VM's own. */
  answer(request: RequestId, status: number, reason: string, retryAfterMs?: number): void {
    this.exchanges.get(request)?.answer(status, reason, retryAfterMs);
    this.exchanges.delete(request);
  }
}
