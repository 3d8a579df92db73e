import type { BalancerEffect, BalancerEvent, BalancerState } from '../balancing/index.js';
import type { RequestId } from '../core/model/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock } from '../timing/index.js';
import type { ActiveRequests } from './ActiveRequests.js';
import type { FaultHandlers } from './BalancerLoop.js';
import type { RequestTimers } from './RequestTimers.js';

/** Longest message of an error that is logged, in characters; it may quote what another party sent. */
const MAX_MESSAGE_LENGTH = 300;

/**
 * Delay from an event that failed to the search for what its lost effects leave open, in
 * milliseconds, so that a fault that persists does not occupy the process.
 */
const RECOVERY_DELAY_MS = 20;

const UNAVAILABLE = 503;

/** What the process has open, and the events by which it ends. */
export interface OpenWork {
  readonly activeRequests: Pick<
    ActiveRequests,
    'answer' | 'close' | 'cancelAttempt' | 'getCallerRequestId' | 'requestIds' | 'attemptIds'
  >;
  readonly wakeTimers: Pick<RequestTimers, 'set' | 'has' | 'cancel'>;
  dispatch(event: BalancerEvent): void;
}

/** Dependencies of `FaultRecovery`. */
export interface FaultRecoveryParts {
  readonly state: Pick<
    BalancerState,
    'pendingRequests' | 'heldRequests' | 'pendingAttempts' | 'forwards'
  >;
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'write'>;
  /** Called after a fault only, as the event loop is created first. */
  getOpenWork(): OpenWork;
}

type Consequences = {
  readonly [K in BalancerEffect['kind']]: (
    effect: Extract<BalancerEffect, { kind: K }>,
    recovery: FaultRecovery,
  ) => void;
};

/** Nobody waits for the effect, or its sender asks again. */
function leaveAlone(): void {}

function endRequest({ request }: { request: RequestId }, recovery: FaultRecovery): void {
  recovery.endRequest(request);
}

/** What becomes of an effect that threw, so that no request waits for it. */
const CONSEQUENCES: Consequences = {
  probe: ({ to: { target, bornAt } }, recovery) =>
    recovery.dispatch({ kind: 'probeEnded', target, bornAt, end: { kind: 'unanswered' } }),
  // Node checks address, path and headers before it connects, so that nothing was sent.
  sendAttempt: ({ attempt }, recovery) =>
    recovery.dispatch({ kind: 'attemptEnded', attempt, end: { kind: 'unsent' } }),
  forwardRequest: ({ attempt }, recovery) =>
    recovery.dispatch({ kind: 'forwardEnded', attempt, end: { kind: 'unsent' } }),
  deliver: endRequest,
  answer: endRequest,
  // Nothing else would end the request at its deadline.
  wake: endRequest,
  cancelAttempt: leaveAlone,
  dropIdleConnections: leaveAlone,
  askPermit: leaveAlone,
  answerPermit: leaveAlone,
  returnPermit: leaveAlone,
  askQuota: leaveAlone,
  answerQuota: leaveAlone,
  returnQuota: leaveAlone,
  gossipLimits: leaveAlone,
  gossipCrashes: leaveAlone,
  log: leaveAlone,
};

/**
 * Ends what an exception leaves open: the request of an effect that threw, and everything that the
 * lost effects of an event would have started or ended. Without it, requests stay unanswered until
 * their callers give up.
 */
export class FaultRecovery implements FaultHandlers {
  /** @internal */
  private isScheduled = false;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: FaultRecoveryParts) {}

  /** Passes an event to the balancer. */
  dispatch(event: BalancerEvent): void {
    this.parts.getOpenWork().dispatch(event);
  }

  onEffectFailed(effect: BalancerEffect, error: Error): void {
    const request = 'request' in effect ? effect.request : undefined;
    // The line of an effect that logs may be what cannot be written.
    this.log('effect.failed', effect.kind, request, error);
    const recover = CONSEQUENCES[effect.kind] as (
      effect: BalancerEffect,
      recovery: FaultRecovery,
    ) => void;
    recover(effect, this);
  }

  onEventFailed(event: BalancerEvent, request: RequestId | undefined, error: Error): void {
    this.log('event.failed', event.kind, request, error);
    if (event.kind === 'requestArrived') this.refuseRequest(event.request);
    // A request that has been sent must not be sent again by a state that is half updated.
    else if (request !== undefined && event.kind !== 'callerLeft') this.endRequest(request);
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.parts.clock.after(RECOVERY_DELAY_MS, () => {
      this.isScheduled = false;
      this.endOrphans();
    });
  }

  /**
   * Closes the connection of a request's caller, who is told nothing of whether it has run.
   * @param request - The request.
   */
  endRequest(request: RequestId): void {
    const { activeRequests, wakeTimers, dispatch } = this.parts.getOpenWork();
    wakeTimers.cancel(request);
    activeRequests.close(request);
    dispatch({ kind: 'callerLeft', request });
  }

  /**
   * Ends what the state and the process do not both know, and wakes requests without a timer. Called
   * between events, when both know the same unless effects were lost.
   */
  endOrphans(): void {
    const { state, clock } = this.parts;
    const { activeRequests, wakeTimers, dispatch } = this.parts.getOpenWork();
    const requests = new Set(activeRequests.requestIds);
    const attempts = new Set(activeRequests.attemptIds);
    for (const request of requests) {
      const isKnown = state.pendingRequests.has(request) || state.heldRequests.has(request);
      if (!isKnown) this.endRequest(request);
    }
    for (const attempt of attempts) {
      const isKnown = state.pendingAttempts.has(attempt) || state.forwards.has(attempt);
      if (!isKnown) activeRequests.cancelAttempt(attempt);
    }
    for (const request of [...state.pendingRequests.keys(), ...state.heldRequests.keys()]) {
      if (!requests.has(request)) dispatch({ kind: 'callerLeft', request });
      else if (!wakeTimers.has(request)) wakeTimers.set(request, clock.now());
    }
    // Whether they were sent is not known, so that they count as attempts that may have run.
    for (const attempt of [...state.pendingAttempts.keys()]) {
      if (attempts.has(attempt)) continue;
      dispatch({ kind: 'attemptEnded', attempt, end: { kind: 'broken' } });
    }
    // The events above may have started further ones.
    const openAttempts = new Set(activeRequests.attemptIds);
    for (const attempt of [...state.forwards.keys()]) {
      if (openAttempts.has(attempt)) continue;
      dispatch({ kind: 'forwardEnded', attempt, end: { kind: 'broken' } });
    }
  }

  /** Refuses a request of which nothing has been sent, so that its caller may repeat it. @internal */
  private refuseRequest(request: RequestId): void {
    this.parts.getOpenWork().activeRequests.answer(request, UNAVAILABLE, 'internalError');
    this.endRequest(request);
  }

  /** @internal */
  private log(
    event: 'effect.failed' | 'event.failed',
    kind: string,
    request: RequestId | undefined,
    error: Error,
  ): void {
    const { activeRequests } = this.parts.getOpenWork();
    const { log } = this.parts;
    const id = request === undefined ? undefined : activeRequests.getCallerRequestId(request);
    const message = String(error.message).slice(0, MAX_MESSAGE_LENGTH);
    const fields = { kind, id, message };
    if (event === 'effect.failed') log.write('effect.failed', fields);
    else log.write('event.failed', fields);
  }
}
