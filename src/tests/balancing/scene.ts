import type {
  AttemptResult,
  BalancerEffect,
  BalancerEvent,
  BalancerState,
  BalancingSettings,
  ForwardTerms,
  LoadReading,
  Route,
  RoutingTable,
  TargetRegistration,
} from '../../balancing/index.js';
import { createBalancerState, reduceBalancer } from '../../balancing/index.js';
import type { ExposureBound } from '../../rollouts/index.js';
import { createRandom } from '../../standIns/models/index.js';

/** A route to one service. */
export const ROUTE: Route = {
  name: 'lookup',
  host: 'door.example',
  pathPrefix: '/horaires/',
  isIdempotent: true,
  objectiveMs: 600,
  priority: 2,
  services: [{ service: 'horaires', weight: 1 }],
  timeoutMs: 2_000,
  maxTargets: 2,
};

export const TABLE: RoutingTable = {
  version: 1,
  routes: [ROUTE],
  services: [
    { name: 'horaires', healthPath: '/health', maxConnections: 220, coldRequestsPerSecond: 2 },
  ],
  limits: { bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

export function makeTarget(
  id: string,
  changes: Partial<TargetRegistration> = {},
): TargetRegistration {
  return {
    id,
    service: 'horaires',
    address: `10.0.0.1:${8_000 + Number(id.replace(/\D/g, ''))}`,
    zone: 'quai',
    version: 'v1',
    bornAt: 1,
    slots: 2,
    isDraining: false,
    coldMs: 0,
    ...changes,
  };
}

/** Creates the load reading of a target with two slots. */
export function makeReading(at: number, running: number): LoadReading {
  return { at, running, waiting: 0, slots: 2, slowdown: 1, isHealthy: true };
}

type EffectOf<K extends BalancerEffect['kind']> = Extract<BalancerEffect, { kind: K }>;

export function makeSettings(vm: string): BalancingSettings {
  return {
    vm,
    zone: 'quai',
    retries: { ratio: 0.2, windowMs: 10_000, slack: 60 },
    cold: { perSecond: 1.5, slack: 5 },
    probesPerTargetAndSecond: 60,
  };
}

/** Drives the balancer of one entry VM with a simulated clock. */
export class Scene {
  now = 1_000;

  readonly state: BalancerState;

  readonly effects: BalancerEffect[] = [];

  private lastRequest = 0;

  constructor(
    targets: readonly TargetRegistration[],
    routes: readonly Route[] = [ROUTE],
    vm = 'vm-1',
    rollouts?: ExposureBound,
    startedAt?: number,
  ) {
    this.now += startedAt ?? 0;
    this.state = createBalancerState({ ...makeSettings(vm), rollouts }, startedAt);
    // Unless its start is part of the test, the VM has known for long that it is the only one.
    if (startedAt === undefined) {
      reduceBalancer(
        this.state,
        { kind: 'vmsChanged', vms: [vm] },
        { now: -60_000, random: this.random },
      );
    }
    this.dispatch({ kind: 'tableRead', table: { ...TABLE, routes } });
    this.dispatch({ kind: 'targetsRead', targets });
  }

  private readonly random = createRandom(1);

  /** Handles an event and returns its effects. */
  dispatch(event: BalancerEvent): BalancerEffect[] {
    const made = reduceBalancer(this.state, event, { now: this.now, random: this.random });
    this.effects.push(...made);
    return made;
  }

  /** Sends a caller's request and returns its id. */
  arrive(
    path = '/horaires/today',
    allowedMs: number | undefined = 4_000,
    fingerprint = path,
    keyDigest?: string,
  ): number {
    this.lastRequest += 1;
    this.dispatch({
      kind: 'requestArrived',
      request: this.lastRequest,
      callerRequestId: `r-${this.lastRequest}`,
      fingerprint,
      host: 'door.example',
      path,
      allowedMs,
      arrivedAt: this.now,
      keyDigest,
    });
    return this.lastRequest;
  }

  /** Receives a request that another VM passes on. */
  arriveForwarded(terms: ForwardTerms, allowedMs = 4_000): void {
    this.dispatch({
      kind: 'requestArrived',
      request: 99,
      callerRequestId: 'r-99',
      fingerprint: 'f',
      host: 'door.example',
      path: '/horaires/today',
      allowedMs,
      arrivedAt: this.now,
      forwarded: terms,
    });
  }

  /** Answers every open probe; `running` gives the number of requests that a target runs. */
  answerProbes(running: (target: string) => number = () => 0, coldMs = 0): void {
    for (const record of this.state.targets.values()) {
      if (record.probeSentAt === undefined) continue;
      this.dispatch({
        kind: 'probeEnded',
        target: record.entry.id,
        bornAt: record.entry.bornAt,
        end: {
          kind: 'answered',
          coldMs,
          reading: makeReading(this.now, running(record.entry.id)),
        },
      });
    }
  }

  /** Ends all probes in flight without an answer. */
  failProbes(kind: 'refused' | 'silent' = 'refused'): void {
    for (const { entry, probeSentAt } of this.state.targets.values()) {
      if (probeSentAt === undefined) continue;
      this.dispatch({
        kind: 'probeEnded',
        target: entry.id,
        bornAt: entry.bornAt,
        end: { kind },
      });
    }
  }

  /** The latest attempt. */
  get lastSent(): EffectOf<'sendAttempt'> {
    const sent = this.all('sendAttempt').at(-1);
    if (sent === undefined) throw new Error('no attempt was sent');
    return sent;
  }

  /** Ends the latest attempt. */
  end(end: AttemptResult): void {
    this.dispatch({ kind: 'attemptEnded', attempt: this.lastSent.attempt, end });
  }

  /** Advances the clock and wakes a request up. */
  wait(ms: number, request: number): void {
    this.now += ms;
    this.dispatch({ kind: 'wakeDue', request });
  }

  all<K extends BalancerEffect['kind']>(kind: K): EffectOf<K>[] {
    return this.effects.filter((effect): effect is EffectOf<K> => effect.kind === kind);
  }
}
