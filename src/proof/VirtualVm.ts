import type {
  AttemptId,
  CoreEvent,
  CoreSettings,
  Effect,
  EntryState,
  Member,
  PeriodicJob,
  RequestId,
  TargetId,
} from '../core/index.js';
import { createEntryState, DEFAULT_CORE_SETTINGS, JOB_PERIODS_MS, reduce } from '../core/index.js';
import type { LiveAttempt, LiveRequest } from './live.js';
import type { VirtualClock } from './VirtualClock.js';

/** One run of an entry process. */
export interface VirtualVmOptions {
  readonly member: Member;
  /** Name of the machine, which outlives the process. */
  readonly machine: string;
  readonly settings: Partial<CoreSettings>;
  readonly random: () => number;
  /** How fast its monotonic clock runs against the others. */
  readonly clockRate: number;
  /** Carries out one effect; never hands an event back before it returns. */
  readonly carryOut: (vm: VirtualVm, effect: Effect) => void;
  /** Called after each event was handled. */
  readonly onHandled: (vm: VirtualVm, event: CoreEvent) => void;
}

/** Where a VM's clock stands at its start; an odd figure, so that mixed-up clocks show. */
const CLOCK_ORIGIN_MS = 5_000;

/** One entry process: a core, its jobs, and what it has under way. */
export class VirtualVm {
  readonly id: string;

  readonly state: EntryState;

  readonly requests = new Map<RequestId, LiveRequest>();

  readonly attempts = new Map<AttemptId, LiveAttempt>();

  /** Idle connections by target, and the run of the target that they lead to. */
  readonly idleConnections = new Map<TargetId, { count: number; bootId: string }>();

  life: 'running' | 'paused' | 'ended' = 'running';

  /** True if its machine died with it: nothing answers at its address. */
  isMachineDown = false;

  stopAsked = false;

  /** True once it listens no more, shortly before it exits. */
  isClosed = false;

  /** When it last woke from a pause, in milliseconds of the proof's clock. */
  resumedAt = Number.NEGATIVE_INFINITY;

  nextRequest: RequestId = 1;

  /** @internal */
  private readonly startedAt: number;

  /** What came about while it was paused, oldest first. @internal */
  private backlog: (() => void)[] = [];

  /**
   * @param clock - Time to go by.
   * @param options - Who it is and what carries out its effects.
   */
  constructor(
    private readonly clock: VirtualClock,
    readonly options: VirtualVmOptions,
  ) {
    this.id = options.member.id;
    this.startedAt = clock.now();
    const settings = {
      ...DEFAULT_CORE_SETTINGS,
      region: 'region',
      ...options.settings,
      self: options.member,
    };
    this.state = createEntryState(settings, this.now());
    for (const [job, periodMs] of Object.entries(JOB_PERIODS_MS)) {
      this.repeat(periodMs * options.random(), periodMs, () =>
        this.handle({ kind: 'jobDue', job: job as PeriodicJob }),
      );
    }
  }

  /** Its monotonic clock, in milliseconds. */
  now(): number {
    return CLOCK_ORIGIN_MS + (this.clock.now() - this.startedAt) * this.options.clockRate;
  }

  /**
   * Does something in this process: now, when it wakes, or never if it has ended.
   * @param action - What to do.
   */
  enter(action: () => void): void {
    if (this.life === 'running') action();
    else if (this.life === 'paused') this.backlog.push(action);
  }

  /**
   * Hands an event to the core.
   * @param event - What happened.
   */
  dispatch(event: CoreEvent): void {
    this.enter(() => this.handle(event));
  }

  /** Freezes the process; its clock goes on, and what reaches it waits. */
  pause(): void {
    if (this.life === 'running') this.life = 'paused';
  }

  /** Wakes the process, which then handles all that waited. */
  resume(): void {
    if (this.life !== 'paused') return;
    this.life = 'running';
    this.resumedAt = this.clock.now();
    const waiting = this.backlog;
    this.backlog = [];
    waiting.forEach((action) => this.enter(action));
  }

  /**
   * Does something again and again while the process lives.
   * @param firstMs - Milliseconds to the first time.
   * @param periodMs - Milliseconds between the end of one time and the next.
   * @param action - What to do.
   */
  repeat(firstMs: number, periodMs: number, action: () => void): void {
    this.clock.after(firstMs, () =>
      this.enter(() => {
        action();
        this.repeat(periodMs, periodMs, action);
      }),
    );
  }

  /** @internal */
  private handle(event: CoreEvent): void {
    const context = { now: this.now(), random: this.options.random };
    this.carryOutAll(reduce(this.state, event, context), 0);
    this.options.onHandled(this, event);
  }

  /** Carries effects out until the process is paused or ends in their midst. @internal */
  private carryOutAll(effects: readonly Effect[], from: number): void {
    for (let i = from; i < effects.length; i++) {
      if (this.life !== 'running') {
        this.enter(() => this.carryOutAll(effects, i));
        return;
      }
      const effect = effects[i];
      if (effect !== undefined) this.options.carryOut(this, effect);
    }
  }
}
