import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';
import type { AttemptId, RequestId } from '../core/model/index.js';
import type { Clock } from '../timing/index.js';
import type { CallerExchange } from './CallerExchange.js';
import type { TargetAgents } from './TargetAgents.js';
import { TargetRequest } from './TargetRequest.js';

type SendAttemptEffect = Extract<BalancerEffect, { kind: 'sendAttempt' }>;

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
   * @param clock - Clock for the time of load readings.
   * @param dispatch - Receives an event when an attempt ends.
   */
  constructor(
    private readonly agents: TargetAgents,
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
  startAttempt({ request, attempt, to, allowedMs }: SendAttemptEffect): void {
    const exchange = this.exchanges.get(request);
    if (exchange === undefined) return;
    const { req, headers, body, callerRequestId } = exchange;
    const targetRequest = new TargetRequest({
      agent: this.agents.getAgent(to),
      clock: this.clock,
      to,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers,
      body,
      callerRequestId,
      allowedMs,
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

  /** Cancels an attempt. */
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
