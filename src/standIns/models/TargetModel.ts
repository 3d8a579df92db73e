import type { CancelTimer, Clock } from '../../timing/index.js';
import { drawLognormal } from './random.js';
import type {
  TargetFaults,
  TargetListener,
  TargetModelOptions,
  TargetReport,
  TargetRequest,
  TargetStart,
} from './TargetModelOptions.js';
import { DEFAULT_TARGET_OPTIONS } from './TargetModelOptions.js';

interface PendingWork {
  readonly request: TargetRequest;
  readonly listener: TargetListener;
  cancelTimer?: CancelTimer;
  cancelDeadline?: CancelTimer;
}

const IMMEDIATE_ANSWER_MS = 1;

/**
 * Simulates a back end with a fixed number of slots; requests beyond them wait in a queue. While
 * cold, it has a lower capacity and crashes if more requests than that are outstanding.
 */
export class TargetModel {
  readonly faults: TargetFaults = {
    slowFactor: 1,
    draining: false,
    failsFast: false,
    sheds: false,
    cutsAnswers: false,
    crashesOn: new Set(),
  };

  readonly options: TargetModelOptions;

  /** Number of crashes caused by exceeding the capacity while cold. */
  overloadCrashes = 0;

  /** Number of crashes, overload crashes included. */
  crashes = 0;

  /** Highest number of requests and probes that ran at the same time. */
  peakRunning = 0;

  /** Total service time of probes, in milliseconds. */
  probeMs = 0;

  /** Total service time of requests, in milliseconds. */
  workMs = 0;

  /** Called when a request or probe starts to run. */
  onStart?: (start: TargetStart) => void;

  /** Called after each crash, before outstanding requests are reset. */
  onCrash?: () => void;

  /** Called when it is about to crash because of overload while cold. */
  onOverloadCrash?: () => void;

  /** @internal */
  private readonly running = new Set<PendingWork>();

  /** @internal */
  private readonly waiting: PendingWork[] = [];

  /** @internal */
  private bootCount = 1;

  /** Requests completed since it last turned cold; undefined when warm. @internal */
  private completedWhileCold?: number;

  /** @internal */
  private downUntil = 0;

  /** @internal */
  private lastLoadReport = { at: Number.NEGATIVE_INFINITY, load: 0 };

  /**
   * @param clock - Source of time and timers.
   * @param random - Random numbers uniform in [0, 1).
   * @param options - Behaviour that differs from the defaults.
   */
  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
    options: Partial<TargetModelOptions> = {},
  ) {
    this.options = { ...DEFAULT_TARGET_OPTIONS, ...options };
    if (this.options.startsCold) this.completedWhileCold = 0;
  }

  /** Number of requests and probes that are running or waiting. */
  get outstanding(): number {
    return this.running.size + this.waiting.length;
  }

  /** Whether its caches are not warm yet: it is slower and its capacity is lower. */
  get isCold(): boolean {
    return this.completedWhileCold !== undefined;
  }

  /** Whether it is restarting after a crash and accepts no connections. */
  get isDown(): boolean {
    return this.clock.now() < this.downUntil;
  }

  /** Identifier of the current run; changes with each restart. */
  get bootId(): string {
    return `${this.options.id}#${this.bootCount}`;
  }

  /**
   * Number of requests that it can currently handle at once. While cold, this starts at 1 and
   * doubles after every `coldRounds` times that many completed requests, up to `slots`.
   */
  get capacity(): number {
    if (this.completedWhileCold === undefined) return this.options.slots;
    let limit = 1;
    let requiredCompletions = this.options.coldRounds;
    while (this.completedWhileCold >= requiredCompletions && limit < this.options.slots) {
      limit *= 2;
      requiredCompletions += limit * this.options.coldRounds;
    }
    return Math.min(limit, this.options.slots);
  }

  /** Makes it cold without a restart, as if its caches had been cleared. */
  turnCold(): void {
    this.completedWhileCold = 0;
  }

  /** Ends the process and resets all outstanding requests; it restarts cold after `restartMs`. */
  crash(): void {
    this.crashes += 1;
    const lostWork = [...this.running, ...this.waiting];
    this.running.clear();
    this.waiting.length = 0;
    this.bootCount += 1;
    this.completedWhileCold = 0;
    this.downUntil = this.clock.now() + this.options.restartMs;
    this.onCrash?.();
    for (const work of lostWork) {
      work.cancelTimer?.();
      work.cancelDeadline?.();
      work.listener.ended('reset');
    }
  }

  /**
   * Accepts or rejects a request or probe.
   * @param request - Request or probe.
   * @param listener - Notified of the response and of its end.
   * @returns Cancels the request; the listener is not notified afterwards.
   * @example
   * const listener = { answered: () => {}, ended: (end) => console.log(end) };
   * const cancel = target.acceptRequest(request, listener);
   */
  acceptRequest(request: TargetRequest, listener: TargetListener): () => void {
    if (this.isDown) {
      listener.ended('notSent');
      return () => {};
    }
    const { draining, sheds, failsFast } = this.faults;
    const isFull = this.waiting.length >= this.options.maxWaiting;
    if (sheds || (draining && !request.isProbe) || isFull) return this.answerNow(503, listener);
    const work: PendingWork = { request, listener };
    if (request.remainingMs !== undefined) {
      work.cancelDeadline = this.clock.after(request.remainingMs, () => this.cancelWork(work));
    }
    if (this.running.size < this.options.slots) this.startWork(work, failsFast);
    else this.waiting.push(work);
    if (this.isCold && this.outstanding > this.capacity) {
      this.overloadCrashes += 1;
      this.onOverloadCrash?.();
      this.crash();
    }
    return () => this.cancelWork(work);
  }

  /** Returns the report that it sends in response headers and to probes. */
  getReport(): TargetReport {
    const now = this.clock.now();
    if (now - this.lastLoadReport.at >= this.options.reportLagMs) {
      this.lastLoadReport = { at: now, load: this.running.size / this.options.slots };
    }
    return {
      bootId: this.bootId,
      load: this.faults.misleadingLoad ?? this.lastLoadReport.load,
      draining: this.faults.draining,
    };
  }

  /** @internal */
  private answerNow(status: number, listener: TargetListener): () => void {
    return this.clock.after(IMMEDIATE_ANSWER_MS, () => {
      listener.answered(status, this.getReport());
      listener.ended('complete');
    });
  }

  /** @internal */
  private startWork(work: PendingWork, failsFast: boolean): void {
    const { request } = work;
    this.running.add(work);
    this.peakRunning = Math.max(this.peakRunning, this.running.size);
    this.onStart?.({
      at: this.clock.now(),
      target: this.options.id,
      request,
      running: this.running.size,
      held: this.outstanding,
      bears: this.capacity,
      cold: this.isCold,
    });
    if (this.faults.crashesOn.has(request.fingerprint)) {
      work.cancelTimer = this.clock.after(this.options.crashMs, () => this.crash());
      return;
    }
    const serviceMs = failsFast ? IMMEDIATE_ANSWER_MS : this.getServiceMs(request);
    if (request.isProbe) this.probeMs += serviceMs;
    else this.workMs += serviceMs;
    work.cancelTimer = this.clock.after(serviceMs, () =>
      this.finishWork(work, failsFast ? 500 : 200),
    );
  }

  /** @internal */
  private getServiceMs(request: TargetRequest): number {
    const { options } = this;
    const baseMs = request.isProbe
      ? options.probeCostMs
      : (request.serviceMs ?? drawLognormal(this.random, options.meanServiceMs, options.sigma));
    const slowdownFactor = this.faults.slowFactor * (this.isCold ? options.coldFactor : 1);
    return baseMs * slowdownFactor + (request.newConnection ? options.connectionCostMs : 0);
  }

  /** @internal */
  private finishWork(work: PendingWork, status: number): void {
    if (!this.releaseSlot(work)) return;
    if (this.completedWhileCold !== undefined && !work.request.isProbe) {
      this.completedWhileCold += 1;
      if (this.capacity >= this.options.slots) this.completedWhileCold = undefined;
    }
    work.listener.answered(status, this.getReport());
    work.listener.ended(this.faults.cutsAnswers ? 'cut' : 'complete');
    this.startNext();
  }

  /** @internal */
  private cancelWork(work: PendingWork): void {
    const index = this.waiting.indexOf(work);
    if (index >= 0) this.waiting.splice(index, 1);
    work.cancelDeadline?.();
    if (this.releaseSlot(work)) this.startNext();
  }

  /** @internal */
  private releaseSlot(work: PendingWork): boolean {
    work.cancelTimer?.();
    work.cancelDeadline?.();
    return this.running.delete(work);
  }

  /** @internal */
  private startNext(): void {
    if (this.running.size >= this.options.slots) return;
    const next = this.waiting.shift();
    if (next !== undefined) this.startWork(next, this.faults.failsFast);
  }
}
