import type { AttemptId, CoreEvent, Effect, EntryState, EntryVmId } from '../../core/index.js';
import { canSendTo } from '../../core/index.js';
import type { CancelTimer, Clock } from '../../timing/index.js';
import type { Exchange } from '../exchange/Exchange.js';
import type { Exchanges } from '../exchange/Exchanges.js';
import type { Attempt } from './Attempt.js';
import { AttemptReport } from './AttemptReport.js';
import { TargetAttempt } from './TargetAttempt.js';
import type { TargetPools } from './TargetPools.js';

/** An attempt that can be started, and ended by its deadline. */
export interface StartableAttempt extends Attempt {
  start(): void;
  expire(): void;
}

/** What a forward to a peer is made from. */
export interface ForwardParts {
  readonly attempt: AttemptId;
  readonly peer: EntryVmId;
  readonly peerAddress: string;
  readonly exchange: Exchange;
  readonly report: AttemptReport;
  readonly remainingMs: number;
  readonly onBodyTooLarge: () => void;
}

/** What sending attempts needs. */
export interface AttemptsParts {
  readonly clock: Clock;
  readonly exchanges: Exchanges;
  readonly pools: TargetPools;
  readonly dispatch: (event: CoreEvent) => void;
  readonly storedAnswerBytes: number;
  readonly createForward: (parts: ForwardParts) => StartableAttempt;
  readonly onBodyTooLarge: (request: number) => void;
  /** Told how long each sending took, in milliseconds. */
  readonly onEnded: (to: 'target' | 'peer', milliseconds: number) => void;
  /** Read only. */
  readonly state: EntryState;
}

type SendEffect = Extract<Effect, { kind: 'sendAttempt' }>;

/** Carries out what the core says about attempts. */
export class Attempts {
  /** @internal */
  private readonly byId = new Map<AttemptId, Attempt>();

  /** @param parts - What sending needs. */
  constructor(private readonly parts: AttemptsParts) {}

  /**
   * Sends a request.
   * @param effect - Which request, where, and until when.
   */
  send(effect: SendEffect): void {
    const { clock, exchanges, dispatch } = this.parts;
    const exchange = exchanges.get(effect.request);
    if (exchange === undefined) {
      const { attempt } = effect;
      dispatch({ kind: 'attemptEnded', attempt, end: 'notSent', bodyReplayable: false });
      return;
    }
    const startedAt = clock.now();
    let cancelTimer: CancelTimer = () => {};
    const report = new AttemptReport({
      attempt: effect.attempt,
      exchange,
      dispatch,
      storedAnswerBytes: this.parts.storedAnswerBytes,
      onEnded: () => {
        this.parts.onEnded(effect.to.kind, clock.now() - startedAt);
        cancelTimer();
        this.byId.delete(effect.attempt);
      },
    });
    const remainingMs = effect.deadlineAt - startedAt;
    const attempt = this.create(effect, exchange, report, remainingMs);
    this.byId.set(effect.attempt, attempt);
    cancelTimer = clock.after(Math.max(0, remainingMs), () => attempt.expire());
    attempt.start();
  }

  /**
   * Stops an attempt.
   * @param id - The attempt.
   */
  cancel(id: AttemptId): void {
    this.byId.get(id)?.cancel();
  }

  /**
   * Sends an attempt's answer on to the one who waits for the request.
   * @param id - The attempt.
   * @param exchange - The request.
   */
  relay(id: AttemptId, exchange: Exchange): void {
    this.byId.get(id)?.relayTo(exchange);
  }

  /** @internal */
  private create(
    effect: SendEffect,
    exchange: Exchange,
    report: AttemptReport,
    remainingMs: number,
  ): StartableAttempt {
    const { to, attempt } = effect;
    const onBodyTooLarge = (): void => this.parts.onBodyTooLarge(effect.request);
    if (to.kind === 'peer') {
      const { peer, peerAddress } = to;
      const parts = { attempt, exchange, report, remainingMs, onBodyTooLarge };
      return this.parts.createForward({ ...parts, peer, peerAddress });
    }
    const { pools, state, clock } = this.parts;
    const { target } = to;
    const record = state.targets.records.get(target);
    const dispatcher = pools.get(target, to.address);
    return new TargetAttempt({
      attempt,
      exchange,
      report,
      remainingMs,
      onBodyTooLarge,
      dispatcher,
      origin: { target, zone: record?.config.zone ?? '' },
      maySend: () => {
        const now = clock.now();
        return now < effect.deadlineAt && canSendTo(state, target, now);
      },
    });
  }
}
