import type {
  BalancerEffect,
  BalancerEvent,
  BalancerState,
  LoadReading,
  Quota,
  RoutingTable,
} from '../balancing/index.js';
import { createBalancerState, reduceBalancer } from '../balancing/index.js';
import { isQuotaEffect, QuotaSync } from '../fleet/QuotaSync.js';
import { EventLog } from '../logging/EventLog.js';
import type { CancelTimer } from '../timing/index.js';
import type { QuotaOutcome, QuotaVm, QuotaVmParts } from './QuotaScheme.js';

const HOST = 'lab.example';

/** Targets of a VM; they always have free slots, so that only quotas refuse requests. */
const TARGET_COUNT = 3;

/** Time in which a target runs or rejects a request, in milliseconds. */
const WORK_MS = 40;
const REJECT_MS = 1;

/** How long VMs have known the list of VMs when a plan begins, in milliseconds. */
const EARLIER_RUN_MS = 60_000;

const TARGETS = Array.from({ length: TARGET_COUNT }, (_, i) => ({
  id: `t-${i + 1}`,
  service: 'lab',
  address: `10.0.0.${i + 1}:8080`,
  zone: 'zone-1',
  version: 'v1',
  bornAt: 1,
  slots: 1_000,
  isDraining: false,
  coldMs: 0,
}));

function makeTable(version: number, quotas: ReadonlyMap<string, Quota>): RoutingTable {
  return {
    version,
    routes: [
      {
        name: 'lab',
        host: HOST,
        pathPrefix: '/',
        isIdempotent: false,
        objectiveMs: 300,
        priority: 1,
        services: [{ service: 'lab', weight: 1 }],
        timeoutMs: 1_200,
        maxTargets: 1,
      },
    ],
    services: [
      {
        name: 'lab',
        healthPath: '/health',
        maxConnections: 260,
        coldRequestsPerSecond: 10,
      },
    ],
    limits: { bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    organisations: [...quotas].map(([name, quota]) => ({ name, keyDigests: [name], quota })),
  };
}

/** A VM with the production logic for permits; its datagrams are those of production. */
export class QuotaPermitVm implements QuotaVm {
  state: BalancerState;

  /** @internal */
  private readonly sync: QuotaSync;

  /** @internal */
  private readonly events: BalancerEvent[] = [];

  /** @internal */
  private isRunning = false;

  /** @internal */
  private lastRequest = 0;

  /** @internal */
  private version = 0;

  /** @internal */
  private quotas: ReadonlyMap<string, Quota> = new Map();

  /** @internal */
  private readonly outcomes = new Map<number, QuotaOutcome>();

  /** @internal */
  private readonly timers = new Map<number, CancelTimer>();

  /** @param parts - Clock, network, peers. */
  constructor(private readonly parts: QuotaVmParts) {
    const { clock, names, network, index, peers } = parts;
    this.state = this.createState();
    const addresses = new Map(names.map((name) => [name, `${name}:1`]));
    this.sync = new QuotaSync({
      view: {
        vms: new Map(
          names.map((name) => [
            name,
            { name, zone: 'z', callers: '', peers: `${name}:1`, linkMbps: 0 },
          ]),
        ),
      },
      log: new EventLog(names[index], {
        write: (_text, done) => done(),
        now: () => clock.now(),
        wallNow: () => 0,
      }),
      neighbours: {
        send: (text, address) => {
          const to = names.findIndex((name) => addresses.get(name) === address);
          const from = addresses.get(names[index]) as string;
          network.send(index, to, text.length, () =>
            (peers[to] as QuotaPermitVm).receive(text, from),
          );
        },
      },
      dispatch: (event) => this.dispatch(event),
    });
    this.start(-EARLIER_RUN_MS);
  }

  /** Handles a datagram. */
  receive(text: string, address: string): void {
    this.sync.receive(text, address);
  }

  start(listedAt = this.parts.clock.now()): void {
    const { names, random } = this.parts;
    this.state = this.createState();
    this.outcomes.clear();
    const listed: BalancerEvent = { kind: 'vmsChanged', vms: names };
    reduceBalancer(this.state, listed, { now: listedAt, random });
    this.state.quotaPool.recordVms(names.length, listedAt, true);
    this.configure(this.quotas);
    this.dispatch({ kind: 'targetsRead', targets: TARGETS });
  }

  configure(quotas: ReadonlyMap<string, Quota>): void {
    this.version += 1;
    this.quotas = quotas;
    this.dispatch({ kind: 'tableRead', table: makeTable(this.version, quotas) });
  }

  updateLiveVms(vms: readonly string[]): void {
    this.dispatch({ kind: 'vmsChanged', vms, announced: this.parts.names });
  }

  arrive(organisation: string, outcome: QuotaOutcome): void {
    this.lastRequest += 1;
    this.outcomes.set(this.lastRequest, outcome);
    this.dispatch({
      kind: 'requestArrived',
      request: this.lastRequest,
      callerRequestId: undefined,
      fingerprint: String(this.lastRequest),
      host: HOST,
      path: '/',
      allowedMs: 1_200,
      arrivedAt: this.parts.clock.now(),
      keyDigest: organisation,
    });
  }

  /** @internal */
  private createState(): BalancerState {
    const { names, index, clock } = this.parts;
    const settings = {
      vm: names[index],
      zone: 'zone-1',
      retries: { ratio: 0.2, windowMs: 10_000, slack: 60 },
      cold: { perSecond: 1.5, slack: 5 },
      probesPerTargetAndSecond: 10_000,
    };
    return createBalancerState(settings, clock.now());
  }

  /** @internal */
  private dispatch(event: BalancerEvent): void {
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
    if (isQuotaEffect(effect)) this.sync.runEffect(effect);
    else if (effect.kind === 'probe') this.probe(effect);
    else if (effect.kind === 'sendAttempt') this.send(effect);
    else if (effect.kind === 'wake') this.wake(effect.request, effect.at);
    else if (effect.kind === 'answer') this.refuse(effect);
  }

  /** @internal */
  private refuse({
    request,
    status,
    retryAfterMs,
  }: Extract<BalancerEffect, { kind: 'answer' }>): void {
    const outcome = this.outcomes.get(request);
    this.outcomes.delete(request);
    if (status === 429) outcome?.onRefused(retryAfterMs ?? 0);
  }

  /** @internal */
  private probe({ to }: Extract<BalancerEffect, { kind: 'probe' }>): void {
    const { clock, network } = this.parts;
    clock.after(2 * network.delayMs, () => {
      const end = { kind: 'answered', reading: this.makeReading(), coldMs: 0 } as const;
      this.dispatch({ kind: 'probeEnded', target: to.target, bornAt: to.bornAt, end });
    });
  }

  /** @internal */
  private makeReading(): LoadReading {
    const at = this.parts.clock.now();
    return { at, running: 0, waiting: 0, slots: 1_000, slowdown: 1, isHealthy: true };
  }

  /** @internal */
  private send({ request, attempt }: Extract<BalancerEffect, { kind: 'sendAttempt' }>): void {
    const { clock, random, rejectShare } = this.parts;
    const outcome = this.outcomes.get(request);
    const isRejected = random() < rejectShare;
    outcome?.onSent();
    if (!isRejected) outcome?.onRun();
    clock.after(isRejected ? REJECT_MS : WORK_MS, () =>
      this.dispatch({
        kind: 'attemptEnded',
        attempt,
        end: isRejected ? { kind: 'rejected' } : { kind: 'answered', status: 200 },
      }),
    );
  }

  /** @internal */
  private wake(request: number, at: number): void {
    const { clock } = this.parts;
    this.timers.get(request)?.();
    const cancel = clock.after(at - clock.now(), () => {
      this.timers.delete(request);
      this.dispatch({ kind: 'wakeDue', request });
    });
    this.timers.set(request, cancel);
  }
}
