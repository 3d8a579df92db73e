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
import type { PauseRequest } from './statementChecks.js';
import type { LabTarget, LabWork } from './LabTarget.js';
import type { LabTry, TryResult } from './LabTry.js';
import { getPeerMessage } from './labMessages.js';
import type { Traffic } from './labZones.js';
import { getDelayMs, TRAFFIC_BYTES } from './labZones.js';

/** Dependencies of {@link LabVm}. */
export interface LabVmParts {
  readonly name: string;
  /** Availability zone of the VM. */
  readonly zone: string;
  readonly plan: LabPlan;
  readonly clock: Clock;
  readonly random: () => number;
  readonly targets: ReadonlyMap<string, LabTarget>;
  /** Called for each request that reaches a target. */
  readonly onArrival: (arrival: LimitArrival) => void;
  /** Called for each answer with a limit that arrives for a pending attempt, as it is forwarded. */
  readonly onLimitForwarded: (forwarded: LimitArrival) => void;
  /** Called when a target asks this VM for a pause, as it sends the rejection. */
  readonly onPauseRequested: (request: PauseRequest) => void;
  /** Called for each answer that states that its target is shutting down, as it arrives. */
  readonly onDrainReceived: (received: LimitArrival) => void;
  /** All VMs by name. */
  readonly peers: ReadonlyMap<string, LabVm>;
}

/** Limit on the retries of a service, for all VMs together. */
const RETRY_LIMIT = { ratio: 0.2, windowMs: 10_000, slack: 60 };

/** Interval at which recently confirmed limits are sent again, in milliseconds. */
const GOSSIP_INTERVAL_MS = 1_000;

/** Number of VMs to which each VM sends limit reports. */
const NEIGHBOUR_COUNT = 6;

/** Host name of all simulated requests. */
export const LAB_HOST = 'lab.example';

/** One VM: runs the production balancing logic with simulated network, targets and time. */
export class LabVm {
  state: BalancerState;

  /** Probes sent so far. */
  probes = 0;

  /** Messages sent to other VMs so far. */
  messages = 0;

  /** Requests that targets rejected so far. */
  rejected = 0;

  /** Bytes sent to and received from other zones so far; messages between VMs count as sent. */
  zoneBytes = 0;

  /** Whether the VM is down: it gets no requests from callers and drops messages from VMs. */
  isDown = false;

  /** Attempts sent to targets so far. */
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
  private readonly requestTimers = new Map<number, CancelTimer>();

  /** @internal */
  private readonly attempts = new Map<number, { target: LabTarget; work: LabWork }>();

  /** @param parts - Plan, clock, random source, targets, peers and callbacks. */
  constructor(private readonly parts: LabVmParts) {
    this.state = this.start();
    this.simulateEarlierRun();
    if (parts.plan.isSlowdownPreset) this.presetServiceCurves();
    parts.clock.after(GOSSIP_INTERVAL_MS, () => this.gossipPeriodically());
  }

  /** Availability zone of the VM. */
  get zone(): string {
    return this.parts.zone;
  }

  /** Stops the VM: cancels its attempts, fails its pending tries and resets its state. */
  kill(): void {
    this.isDown = true;
    for (const cancel of this.requestTimers.values()) cancel();
    for (const attempt of this.attempts.keys()) this.cancel(attempt);
    for (const each of this.tries.values()) each.onEnd({ kind: 'failed' });
    this.requestTimers.clear();
    this.attempts.clear();
    this.tries.clear();
    this.state = this.start();
  }

  /** @internal */
  private start(): BalancerState {
    const { name, zone, plan, clock } = this.parts;
    const settings = {
      vm: name,
      zone,
      retries: RETRY_LIMIT,
      cold: { perSecond: 1.5, slack: 5 },
      probesPerTargetAndSecond: plan.probesPerSecond,
      quotas: plan.organisations?.bound,
    };
    return createBalancerState(settings, clock.now());
  }

  /** A plan begins with VMs that have run for some time, and so have their share of retries. @internal */
  private simulateEarlierRun(): void {
    const { clock, plan } = this.parts;
    this.state.retryBudget.recordVms(plan.vms, clock.now() - RETRY_LIMIT.windowMs);
  }

  /** @internal */
  private gossipPeriodically(): void {
    const { clock } = this.parts;
    if (!this.isDown) this.sendLimitReports(this.state.limits.getFreshReports(clock.now()));
    clock.after(GOSSIP_INTERVAL_MS, () => this.gossipPeriodically());
  }

  /** @internal */
  private presetServiceCurves(): void {
    for (const { service, kneeShare, kneeSlowdown } of this.parts.plan.targets) {
      this.state.serviceCurves.set(service, new ServiceCurve({ kneeShare, kneeSlowdown }));
    }
  }

  /** Applies the routing table, targets and VMs that a real VM reads from the store. */
  configure(
    table: RoutingTable,
    targets: readonly TargetRegistration[],
    vms: readonly string[],
  ): void {
    this.dispatch({ kind: 'tableRead', table });
    this.dispatch({ kind: 'targetsRead', targets });
    this.dispatch({ kind: 'vmsChanged', vms });
  }

  /** Updates the list of live VMs. */
  updateLiveVms(vms: readonly string[]): void {
    this.dispatch({ kind: 'vmsChanged', vms, announced: [...this.parts.peers.keys()] });
  }

  /** Accepts a try from a caller. */
  startTry(each: LabTry): void {
    this.lastRequest += 1;
    const request = this.lastRequest;
    this.tries.set(request, each);
    this.dispatch({
      kind: 'requestArrived',
      request,
      callerRequestId: undefined,
      fingerprint: `${each.path} ${request}`,
      host: LAB_HOST,
      path: each.path,
      allowedMs: each.allowedMs,
      keyDigest: each.keyDigest,
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
            : { kind: 'refused', retryAfterMs: effect.retryAfterMs, reason: effect.reason },
        );
        break;
      case 'wake':
        this.wake(effect.request, effect.at);
        break;
      case 'gossipLimits':
        this.sendLimitReports(effect.reports);
        break;
      default: {
        const message = getPeerMessage(effect, this.parts.name);
        if (message !== undefined) this.sendToPeer(message.to, message.event);
      }
    }
  }

  /** Sends limit reports to the neighbours. */
  sendLimitReports(reports: readonly LimitReport[]): void {
    if (reports.length === 0) return;
    const { name, peers } = this.parts;
    const others = [...peers.keys()].filter((vm) => vm !== name);
    // Neighbours are selected by a hash of the names, as in production.
    for (const vm of getOwners(name, others, NEIGHBOUR_COUNT)) {
      this.sendToPeer(vm, { kind: 'limitsReported', reports });
    }
  }

  /** Sends a message to another VM; it is lost if that VM is down on arrival. @internal */
  private sendToPeer(vm: string, event: BalancerEvent): void {
    const { clock, plan, peers, zone } = this.parts;
    this.messages += 1;
    if (this.isDown) return;
    const peer = peers.get(vm);
    this.countBytes('message', peer?.zone ?? zone);
    clock.after(getDelayMs(plan, zone, peer?.zone ?? zone), () => {
      if (peer !== undefined && !peer.isDown) peer.dispatch(event);
    });
  }

  /** @internal */
  private probe({ to }: Extract<BalancerEffect, { kind: 'probe' }>): void {
    const { clock, plan, targets, zone } = this.parts;
    const target = targets.get(to.target);
    const delayMs = getDelayMs(plan, zone, target?.zone ?? zone);
    this.probes += 1;
    this.countBytes('probe', target?.zone ?? zone);
    clock.after(delayMs, () => {
      const reading = target?.reading as LoadReading;
      clock.after(delayMs, () => {
        const end = { kind: 'answered', reading, coldMs: 0 } as const;
        this.dispatch({ kind: 'probeEnded', target: to.target, bornAt: to.bornAt, end });
      });
    });
  }

  /** @internal */
  private send(effect: Extract<BalancerEffect, { kind: 'sendAttempt' }>): void {
    const { request, attempt, to } = effect;
    const { clock, plan, targets, name, zone, onArrival } = this.parts;
    const { onLimitForwarded, onPauseRequested, onDrainReceived } = this.parts;
    const each = this.tries.get(request);
    const target = targets.get(to.target);
    if (each === undefined || target === undefined) return;
    this.sent += 1;
    this.countBytes('request', target.zone);
    const delayMs = getDelayMs(plan, zone, target.zone);
    const work: LabWork = {
      workMs: each.workMs,
      onRun: each.onRun,
      onEnd: (kind, reading, statements) => {
        if (kind === 'rejected') this.rejected += 1;
        this.countBytes(kind, target.zone);
        const { pauseMs } = statements;
        if (typeof pauseMs === 'number') {
          onPauseRequested({ target: to.target, vm: name, at: clock.now(), pauseMs });
        }
        clock.after(delayMs, () => {
          if (!this.attempts.delete(attempt)) {
            const { target: id, bornAt } = to;
            this.dispatch({ kind: 'statementsRead', target: id, bornAt, statements });
            return;
          }
          const end =
            kind === 'answered'
              ? ({ kind, status: 200, reading, ...statements } as const)
              : { kind, reading, ...statements };
          const received = { target: to.target, vm: name, at: clock.now() };
          if (statements.limit !== undefined) onLimitForwarded(received);
          if (statements.isDraining === true) onDrainReceived(received);
          this.dispatch({ kind: 'attemptEnded', attempt, end });
        });
      },
    };
    this.attempts.set(attempt, { target, work });
    clock.after(delayMs, () => {
      onArrival({ target: to.target, vm: name, at: clock.now() });
      target.acceptRequest(work);
    });
  }

  /** @internal */
  private cancel(attempt: number): void {
    const { clock, plan, zone } = this.parts;
    const out = this.attempts.get(attempt);
    this.attempts.delete(attempt);
    if (out === undefined) return;
    clock.after(getDelayMs(plan, zone, out.target.zone), () => out.target.cancelWork(out.work));
  }

  /** @internal */
  private countBytes(traffic: Traffic, otherZone: string): void {
    if (otherZone !== this.parts.zone) this.zoneBytes += TRAFFIC_BYTES[traffic];
  }

  /** @internal */
  private wake(request: number, at: number): void {
    const { clock } = this.parts;
    this.requestTimers.get(request)?.();
    const cancel = clock.after(at - clock.now(), () => {
      this.requestTimers.delete(request);
      this.dispatch({ kind: 'wakeDue', request });
    });
    this.requestTimers.set(request, cancel);
  }

  /** @internal */
  private end(request: number, end: TryResult): void {
    this.requestTimers.get(request)?.();
    this.requestTimers.delete(request);
    const each = this.tries.get(request);
    this.tries.delete(request);
    each?.onEnd(end);
  }
}
