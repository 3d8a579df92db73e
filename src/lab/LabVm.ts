import type {
  BalancerEffect,
  BalancerEvent,
  BalancerState,
  LoadReading,
  RoutingTable,
  TargetRegistration,
} from '../balancing/index.js';
import { createBalancerState, reduceBalancer, ServiceCurve } from '../balancing/index.js';
import type { LimitReport } from '../limits/index.js';
import { getOwners } from '../limits/index.js';
import type { CancelTimer, Clock } from '../timing/index.js';
import type { LabPlan } from './LabPlan.js';
import type { LimitArrival } from './limitWindows.js';
import type { LabTarget, LabWork } from './LabTarget.js';

/** How a try of a caller ended. */
export type TryEnd =
  | { readonly kind: 'answered' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  | { readonly kind: 'failed' };

/** One try of a caller at one VM. */
export interface LabTry {
  readonly path: string;
  readonly workMs: number;
  readonly allowedMs: number;
  readonly onRun: () => void;
  readonly onEnd: (end: TryEnd) => void;
}

/** What a VM works with. */
export interface LabVmParts {
  readonly name: string;
  readonly plan: LabPlan;
  readonly clock: Clock;
  readonly random: () => number;
  readonly targets: ReadonlyMap<string, LabTarget>;
  /** Told of each request that reaches a target. */
  readonly onArrival: (arrival: LimitArrival) => void;
  /** Told of each answer with a limit that is passed on to a caller. */
  readonly onTold: (told: LimitArrival) => void;
  /** All VMs by name. */
  readonly peers: ReadonlyMap<string, LabVm>;
}

/** How often limits that were confirmed are told again, in milliseconds. */
const SPREAD_MS = 1_000;

/** VMs that each one tells news of limits. */
const NEIGHBOURS = 6;

/** Host that all requests of a lab are for. */
export const LAB_HOST = 'lab.example';

/** One VM: the product's own decisions, with everything around them in virtual time. */
export class LabVm {
  state: BalancerState;

  /** Probes sent so far. */
  probes = 0;

  /** Messages sent to other VMs so far. */
  messages = 0;

  /** Whether it is down: it takes no callers and hears nobody. */
  isDown = false;

  /** Requests sent to targets so far. */
  sent = 0;

  /** @internal */
  private readonly events: BalancerEvent[] = [];

  /** @internal */
  private isRunning = false;

  /** @internal */
  private lastRequest = 0;

  /** @internal */
  private readonly tries = new Map<number, LabTry>();

  /** @internal */
  private readonly wakes = new Map<number, CancelTimer>();

  /** @internal */
  private readonly works = new Map<number, { target: LabTarget; work: LabWork }>();

  /** @param parts - What it works with. */
  constructor(private readonly parts: LabVmParts) {
    this.state = this.start();
    if (parts.plan.isTold) this.tellCurves();
    parts.clock.after(SPREAD_MS, () => this.spreadAgain());
  }

  /** Ends all that it does; it forgets what it knew. */
  kill(): void {
    this.isDown = true;
    for (const cancel of this.wakes.values()) cancel();
    for (const attempt of this.works.keys()) this.cancel(attempt);
    for (const each of this.tries.values()) each.onEnd({ kind: 'failed' });
    this.wakes.clear();
    this.works.clear();
    this.tries.clear();
    this.state = this.start();
  }

  /** @internal */
  private start(): BalancerState {
    const { name, plan, clock } = this.parts;
    const settings = {
      vm: name,
      zone: 'zone-1',
      retries: { ratio: 0.2, windowMs: 10_000, slack: 60 },
      cold: { perSecond: 1.5, slack: 5 },
      probesPerTargetAndSecond: plan.probesPerSecond,
    };
    return createBalancerState(settings, clock.now());
  }

  /** @internal */
  private spreadAgain(): void {
    const { clock } = this.parts;
    if (!this.isDown) this.spread(this.state.limits.getFreshReports(clock.now()));
    clock.after(SPREAD_MS, () => this.spreadAgain());
  }

  /** @internal */
  private tellCurves(): void {
    for (const { service, kneeShare, kneeSlowdown } of this.parts.plan.targets) {
      this.state.serviceCurves.set(service, new ServiceCurve({ kneeShare, kneeSlowdown }));
    }
  }

  /** Tells it what the store holds. */
  configure(
    table: RoutingTable,
    targets: readonly TargetRegistration[],
    vms: readonly string[],
  ): void {
    this.dispatch({ kind: 'tableRead', table });
    this.dispatch({ kind: 'targetsRead', targets });
    this.dispatch({ kind: 'vmsChanged', vms });
  }

  /** Tells it which VMs are up. */
  tellVms(vms: readonly string[]): void {
    this.dispatch({ kind: 'vmsChanged', vms, announced: [...this.parts.peers.keys()] });
  }

  /** Takes a try of a caller. */
  ask(each: LabTry): void {
    this.lastRequest += 1;
    const request = this.lastRequest;
    this.tries.set(request, each);
    this.dispatch({
      kind: 'requestArrived',
      request,
      callerRequestId: undefined,
      host: LAB_HOST,
      path: each.path,
      allowedMs: each.allowedMs,
      arrivedAt: this.parts.clock.now(),
    });
  }

  /** @internal */
  private dispatch(event: BalancerEvent): void {
    if (this.isDown) return;
    this.events.push(event);
    if (this.isRunning) return;
    this.isRunning = true;
    const { clock, random } = this.parts;
    for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
      const effects = reduceBalancer(this.state, next, { now: clock.now(), random });
      for (const effect of effects) this.run(effect);
    }
    this.isRunning = false;
  }

  /** @internal */
  private run(effect: BalancerEffect): void {
    switch (effect.kind) {
      case 'probe':
        this.probe(effect);
        break;
      case 'sendAttempt':
        this.send(effect);
        break;
      case 'cancelAttempt':
        this.cancel(effect.attempt);
        break;
      case 'deliver':
        this.end(effect.request, { kind: 'answered' });
        break;
      case 'answer':
        this.end(
          effect.request,
          effect.retryAfterMs === undefined
            ? { kind: 'failed' }
            : { kind: 'refused', retryAfterMs: effect.retryAfterMs },
        );
        break;
      case 'wake':
        this.wake(effect.request, effect.at);
        break;
      case 'askPermit':
        this.tell(effect.vm, { kind: 'permitAsked', ask: effect.ask, from: this.parts.name });
        break;
      case 'answerPermit':
        this.tell(effect.to, { kind: 'permitAnswered', answer: effect.answer });
        break;
      case 'returnPermit':
        this.tell(effect.vm, { kind: 'permitReturned', target: effect.target });
        break;
      case 'gossipLimits':
        this.spread(effect.reports);
        break;
      default:
    }
  }

  /** Tells neighbours what targets said of their limits. */
  spread(reports: readonly LimitReport[]): void {
    if (reports.length === 0) return;
    const { name, peers } = this.parts;
    const others = [...peers.keys()].filter((vm) => vm !== name);
    // Which VMs are neighbours is drawn by a hash, as in the product.
    for (const vm of getOwners(name, others, NEIGHBOURS)) {
      this.tell(vm, { kind: 'limitsReported', reports });
    }
  }

  /** Sends a message to another VM; none arrives at one that is down. @internal */
  private tell(vm: string, event: BalancerEvent): void {
    const { clock, plan, peers } = this.parts;
    this.messages += 1;
    if (this.isDown) return;
    clock.after(plan.wayMs, () => {
      const peer = peers.get(vm);
      if (peer !== undefined && !peer.isDown) peer.dispatch(event);
    });
  }

  /** @internal */
  private probe({ to }: Extract<BalancerEffect, { kind: 'probe' }>): void {
    const { clock, plan, targets } = this.parts;
    this.probes += 1;
    clock.after(plan.wayMs, () => {
      const reading = targets.get(to.target)?.reading as LoadReading;
      clock.after(plan.wayMs, () => {
        const end = { kind: 'answered', reading, coldMs: 0 } as const;
        this.dispatch({ kind: 'probeEnded', target: to.target, bornAt: to.bornAt, end });
      });
    });
  }

  /** @internal */
  private send(effect: Extract<BalancerEffect, { kind: 'sendAttempt' }>): void {
    const { request, attempt, to } = effect;
    const { clock, plan, targets, name, onArrival, onTold } = this.parts;
    const each = this.tries.get(request);
    const target = targets.get(to.target);
    if (each === undefined || target === undefined) return;
    this.sent += 1;
    const work: LabWork = {
      workMs: each.workMs,
      onRun: each.onRun,
      onEnd: (kind, reading, limit) =>
        clock.after(plan.wayMs, () => {
          if (!this.works.delete(attempt)) return;
          const end =
            kind === 'answered'
              ? ({ kind, status: 200, reading, limit } as const)
              : { kind, reading, limit };
          if (limit !== undefined) onTold({ target: to.target, vm: name, at: clock.now() });
          this.dispatch({ kind: 'attemptEnded', attempt, end });
        }),
    };
    this.works.set(attempt, { target, work });
    clock.after(plan.wayMs, () => {
      onArrival({ target: to.target, vm: name, at: clock.now() });
      target.take(work);
    });
  }

  /** @internal */
  private cancel(attempt: number): void {
    const { clock, plan } = this.parts;
    const out = this.works.get(attempt);
    this.works.delete(attempt);
    if (out !== undefined) clock.after(plan.wayMs, () => out.target.withdraw(out.work));
  }

  /** @internal */
  private wake(request: number, at: number): void {
    const { clock } = this.parts;
    this.wakes.get(request)?.();
    const cancel = clock.after(at - clock.now(), () => {
      this.wakes.delete(request);
      this.dispatch({ kind: 'wakeDue', request });
    });
    this.wakes.set(request, cancel);
  }

  /** @internal */
  private end(request: number, end: TryEnd): void {
    this.wakes.get(request)?.();
    this.wakes.delete(request);
    const each = this.tries.get(request);
    this.tries.delete(request);
    each?.onEnd(end);
  }
}
