import type {
  AttemptEnd,
  CoreEvent,
  Effect,
  EntryState,
  LocalAnswer,
  PeriodicJob,
  RequestArrived,
  ServiceConfig,
} from '../../../core/index.js';
import type { Guards } from '../../../core/guards.js';
import { DEFAULT_GUARDS } from '../../../core/guards.js';
import { createEntryState, reduce } from '../../../core/index.js';
import { createRandom } from '../../../standIns/models/index.js';
import { makeSoleMember, makeConfiguration, makeCoreSettings } from '../fixtures.js';

type SendAttempt = Extract<Effect, { kind: 'sendAttempt' }>;

/** One attempt as the adapters would observe it. */
export interface ObservedAttempt {
  readonly sent: SendAttempt;
  readonly at: number;
  answered?: 'ran' | 'refused';
  end?: AttemptEnd;
  cancelled: boolean;
}

/** Runs one core in virtual time; the test takes the part of adapters, targets and peers. */
export class CoreDriver {
  readonly state: EntryState;

  now = 0;

  readonly effects: Effect[] = [];

  readonly attempts = new Map<number, ObservedAttempt>();

  /** Masticlink's own answers by request. */
  readonly answers = new Map<number, LocalAnswer>();

  /** Called for each effect. */
  onEffect?: (effect: Effect) => void;

  /** @internal */
  private readonly random = createRandom(7);

  /** @internal */
  private nextRequest = 1;

  /**
   * @param services - Services of the configuration, all in zone `a`.
   * @param guards - Guards to replace by weaker ones.
   */
  constructor(services: readonly ServiceConfig[], guards: Partial<Guards> = {}) {
    this.state = createEntryState(makeCoreSettings(), 0, { ...DEFAULT_GUARDS, ...guards });
    makeSoleMember(this.state);
    this.dispatch({ kind: 'configurationPushed', ...makeConfiguration(1, services) });
  }

  dispatch(event: CoreEvent): Effect[] {
    const effects = reduce(this.state, event, { now: this.now, random: this.random });
    for (const effect of effects) this.recordEffect(effect);
    return effects;
  }

  /** Advances the time and runs the periodic jobs of the data path. */
  advance(ms: number): Effect[] {
    this.now += ms;
    const jobs: PeriodicJob[] = ['targets', 'queues', 'probes'];
    return jobs.flatMap((job) => this.dispatch({ kind: 'jobDue', job }));
  }

  /** Dispatches a new request and returns its number. */
  arrive(changes: Partial<RequestArrived> = {}): number {
    const request = this.nextRequest;
    this.nextRequest += 1;
    this.dispatch({
      kind: 'requestArrived',
      request,
      service: 'horaires',
      caller: 'door',
      method: 'GET',
      fingerprint: `f${request}`,
      ...changes,
    });
    return request;
  }

  /** Dispatches the head of an answer and returns the effects. */
  answer(attempt: number, status = 200, load = {}, retryAfterMs?: number): Effect[] {
    const seen = this.attempts.get(attempt);
    if (seen?.end === undefined && seen !== undefined) {
      seen.answered ??= status === 503 ? 'refused' : 'ran';
    }
    return this.dispatch({ kind: 'attemptAnswered', attempt, status, load, retryAfterMs });
  }

  end(attempt: number, end: AttemptEnd = 'complete', bodyReplayable = true): Effect[] {
    const seen = this.attempts.get(attempt);
    if (seen !== undefined) seen.end ??= end;
    return this.dispatch({ kind: 'attemptEnded', attempt, end, bodyReplayable });
  }

  /** Answers an attempt completely. */
  complete(attempt: number, status = 200): void {
    this.answer(attempt, status);
    this.end(attempt);
  }

  /** Attempts that have not ended, the oldest first. */
  getOpenAttempts(): ObservedAttempt[] {
    return [...this.attempts.values()].filter(({ end }) => end === undefined);
  }

  /** All attempts of one request. */
  getAttempts(request: number): ObservedAttempt[] {
    return [...this.attempts.values()].filter(({ sent }) => sent.request === request);
  }

  /** Runs enough requests to make all targets warm and the latency distribution reliable. */
  warmUp(service = 'horaires', tookMs = 20): void {
    for (let round = 0; round < 60; round++) {
      for (let i = 0; i < 8; i++) this.arrive({ service });
      this.advance(tookMs);
      for (const { sent } of this.getOpenAttempts()) this.complete(sent.attempt);
      while (this.getOpenAttempts().length > 0) {
        this.advance(tookMs);
        for (const { sent } of this.getOpenAttempts()) this.complete(sent.attempt);
      }
    }
    this.effects.length = 0;
    this.attempts.clear();
    this.answers.clear();
  }

  /** @internal */
  private recordEffect(effect: Effect): void {
    this.effects.push(effect);
    if (effect.kind === 'sendAttempt') {
      this.attempts.set(effect.attempt, { sent: effect, at: this.now, cancelled: false });
    } else if (effect.kind === 'cancelAttempt') {
      const seen = this.attempts.get(effect.attempt);
      if (seen !== undefined) seen.cancelled = true;
    } else if (effect.kind === 'answerRequest') {
      this.answers.set(effect.request, effect.answer);
    }
    this.onEffect?.(effect);
  }
}
