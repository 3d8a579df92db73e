import type { AttemptId, CoreEvent, Effect, EntryState, EntryVmId } from '../../core/index.js';
import { canSendTo } from '../../core/index.js';
import type { CancelTimer, Clock } from '../../timing/index.js';
import type { Exchange } from '../exchange/Exchange.js';
import type { Exchanges } from '../exchange/Exchanges.js';
import type { Attempt } from './Attempt.js';
import { AttemptReporter } from './AttemptReporter.js';
import { TargetAttempt } from './TargetAttempt.js';
import type { TargetPools } from './TargetPools.js';

/** An attempt that can be started and that can exceed its deadline. */
export interface StartableAttempt extends Attempt {
  start(): void;
  expire(): void;
}

/** Input for an attempt that forwards a request to a peer. */
export interface ForwardAttemptInput {
  readonly attempt: AttemptId;
  readonly peer: EntryVmId;
  readonly peerAddress: string;
  readonly exchange: Exchange;
  readonly reporter: AttemptReporter;
  readonly remainingMs: number;
  readonly onBodyTooLarge: () => void;
}

/** Dependencies of the attempt runner. */
export interface AttemptRunnerParts {
  readonly clock: Clock;
  readonly exchanges: Exchanges;
  readonly pools: TargetPools;
  readonly dispatch: (event: CoreEvent) => void;
  readonly storedAnswerBytes: number;
  readonly createForwardAttempt: (parts: ForwardAttemptInput) => StartableAttempt;
  readonly onBodyTooLarge: (request: number) => void;
  /** Called with the duration of each attempt when it ends, in milliseconds. */
  readonly onEnded: (to: 'target' | 'peer', milliseconds: number) => void;
  /** Read-only. */
  readonly state: EntryState;
}

type SendEffect = Extract<Effect, { kind: 'sendAttempt' }>;

/** Runs the core's effects that send, cancel and relay attempts. */
export class AttemptRunner {
  /** @internal */
  private readonly attemptsById = new Map<AttemptId, Attempt>();

  /** @param parts - Dependencies. */
  constructor(private readonly parts: AttemptRunnerParts) {}

  /**
   * Starts an attempt.
   * @param effect - Request, destination and deadline of the attempt.
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
    const reporter = new AttemptReporter({
      attempt: effect.attempt,
      exchange,
      dispatch,
      storedAnswerBytes: this.parts.storedAnswerBytes,
      onEnded: () => {
        this.parts.onEnded(effect.to.kind, clock.now() - startedAt);
        cancelTimer();
        this.attemptsById.delete(effect.attempt);
      },
    });
    const remainingMs = effect.deadlineAt - startedAt;
    const attempt = this.create(effect, exchange, reporter, remainingMs);
    this.attemptsById.set(effect.attempt, attempt);
    cancelTimer = clock.after(Math.max(0, remainingMs), () => attempt.expire());
    attempt.start();
  }

  /**
   * Cancels an attempt; does nothing if it has ended.
   * @param id - The attempt.
   */
  cancel(id: AttemptId): void {
    this.attemptsById.get(id)?.cancel();
  }

  /**
   * Relays an attempt's answer to the caller or peer that sent the request.
   * @param id - The attempt.
   * @param exchange - The request.
   */
  relay(id: AttemptId, exchange: Exchange): void {
    this.attemptsById.get(id)?.relayTo(exchange);
  }

  /** @internal */
  private create(
    effect: SendEffect,
    exchange: Exchange,
    reporter: AttemptReporter,
    remainingMs: number,
  ): StartableAttempt {
    const { to, attempt } = effect;
    const onBodyTooLarge = (): void => this.parts.onBodyTooLarge(effect.request);
    if (to.kind === 'peer') {
      const { peer, peerAddress } = to;
      const parts = { attempt, exchange, reporter, remainingMs, onBodyTooLarge };
      return this.parts.createForwardAttempt({ ...parts, peer, peerAddress });
    }
    const { pools, state, clock } = this.parts;
    const { target } = to;
    const record = state.targets.records.get(target);
    const dispatcher = pools.get(target, to.address);
    return new TargetAttempt({
      attempt,
      exchange,
      reporter,
      remainingMs,
      onBodyTooLarge,
      dispatcher,
      origin: { target, zone: record?.config.zone ?? '' },
      canSend: () => {
        const now = clock.now();
        return now < effect.deadlineAt && canSendTo(state, target, now);
      },
    });
  }
}
