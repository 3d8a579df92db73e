import type {
  AttemptEnd,
  BalancerEffect,
  BalancerEvent,
  BalancerState,
  BalancingSettings,
  LoadReading,
  Route,
  RoutingTable,
  TargetEntry,
} from '../../balancing/index.js';
import { createBalancerState, reduceBalancer } from '../../balancing/index.js';
import type { ExposureBound } from '../../rollouts/index.js';
import { createRandom } from '../../standIns/models/index.js';

/** A route to one service, as a test needs it. */
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

export function makeTarget(id: string, changes: Partial<TargetEntry> = {}): TargetEntry {
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

/** What a target with two slots says of its load. */
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

/** One entry VM's decisions, with the time and the world in the test's hands. */
export class Scene {
  now = 1_000;

  readonly state: BalancerState;

  readonly effects: BalancerEffect[] = [];

  private lastRequest = 0;

  constructor(
    targets: readonly TargetEntry[],
    routes: readonly Route[] = [ROUTE],
    vm = 'vm-1',
    rollouts?: ExposureBound,
  ) {
    this.state = createBalancerState({ ...makeSettings(vm), rollouts });
    this.dispatch({ kind: 'tableRead', table: { ...TABLE, routes } });
    this.dispatch({ kind: 'targetsRead', targets });
  }

  private readonly random = createRandom(1);

  /** Hands an event over and gives what is to be done. */
  dispatch(event: BalancerEvent): BalancerEffect[] {
    const made = reduceBalancer(this.state, event, { now: this.now, random: this.random });
    this.effects.push(...made);
    return made;
  }

  /** A caller's request; gives its number. */
  arrive(path = '/horaires/today', allowedMs: number | undefined = 4_000): number {
    this.lastRequest += 1;
    this.dispatch({
      kind: 'requestArrived',
      request: this.lastRequest,
      callerRequestId: `r-${this.lastRequest}`,
      host: 'door.example',
      path,
      allowedMs,
      arrivedAt: this.now,
    });
    return this.lastRequest;
  }

  /** Answers every probe that is out, each target as idle or as busy as `running` says. */
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

  /** The sending made last. */
  get lastSent(): EffectOf<'sendAttempt'> {
    const sent = this.all('sendAttempt').at(-1);
    if (sent === undefined) throw new Error('nothing was sent');
    return sent;
  }

  /** Ends the sending made last. */
  end(end: AttemptEnd): void {
    this.dispatch({ kind: 'attemptEnded', attempt: this.lastSent.attempt, end });
  }

  /** Lets time pass and looks at a request again. */
  wait(ms: number, request: number): void {
    this.now += ms;
    this.dispatch({ kind: 'wakeDue', request });
  }

  all<K extends BalancerEffect['kind']>(kind: K): EffectOf<K>[] {
    return this.effects.filter((effect): effect is EffectOf<K> => effect.kind === kind);
  }
}
