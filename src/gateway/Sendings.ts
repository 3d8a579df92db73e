import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';
import type { AttemptId, RequestId } from '../core/model/index.js';
import type { Clock } from '../timing/index.js';
import type { CallerExchange } from './CallerExchange.js';
import type { TargetAgents } from './TargetAgents.js';
import { TargetSending } from './TargetSending.js';

type SendEffect = Extract<BalancerEffect, { kind: 'sendAttempt' }>;

/** Requests that callers wait for, and what is out at targets for them. */
export class Sendings {
  /** @internal */
  private readonly exchanges = new Map<RequestId, CallerExchange>();

  /** @internal */
  private readonly sendings = new Map<AttemptId, TargetSending>();

  /** @internal */
  private lastRequest = 0;

  /**
   * @param agents - Connections to targets.
   * @param clock - Time to go by.
   * @param dispatch - Told how each sending ended.
   */
  constructor(
    private readonly agents: TargetAgents,
    private readonly clock: Clock,
    private readonly dispatch: (event: BalancerEvent) => void,
  ) {}

  /** Requests that have no answer yet. */
  get size(): number {
    return this.exchanges.size;
  }

  /**
   * Takes a request in.
   * @param exchange - The request.
   * @returns Its number in this process.
   */
  open(exchange: CallerExchange): RequestId {
    this.lastRequest += 1;
    this.exchanges.set(this.lastRequest, exchange);
    return this.lastRequest;
  }

  /**
   * Id that the caller gave a request.
   * @param request - Its number in this process.
   */
  getCallerRequestId(request: RequestId): string | undefined {
    return this.exchanges.get(request)?.callerRequestId;
  }

  /** The caller left, or its connection ended. */
  close(request: RequestId): void {
    this.exchanges.delete(request);
  }

  /** Sends a request to a target. */
  send({ request, attempt, to, allowedMs }: SendEffect): void {
    const exchange = this.exchanges.get(request);
    if (exchange === undefined) return;
    const { req, headers, body, callerRequestId } = exchange;
    const sending = new TargetSending({
      agent: this.agents.get(to),
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
        this.sendings.delete(attempt);
      },
    });
    this.sendings.set(attempt, sending);
  }

  /** Breaks a sending off. */
  cancel(attempt: AttemptId): void {
    this.sendings.get(attempt)?.cancel();
    this.sendings.delete(attempt);
  }

  /** Gives a caller a target's answer. */
  deliver(request: RequestId, attempt: AttemptId): void {
    const exchange = this.exchanges.get(request);
    const answer = this.sendings.get(attempt)?.answer;
    if (exchange !== undefined && answer !== undefined) exchange.deliver(answer);
    this.exchanges.delete(request);
  }

  /** Answers a caller in this entry VM's own name. */
  answer(request: RequestId, status: number, reason: string, retryAfterMs?: number): void {
    this.exchanges.get(request)?.answer(status, reason, retryAfterMs);
    this.exchanges.delete(request);
  }
}
