import type { BalancerEffect, BalancerState } from '../balancing/index.js';
import { countTargets, createBalancerState, getRolloutFigures } from '../balancing/index.js';
import type { GatewaySettings } from '../config/index.js';
import { CallerServer } from '../entry/api/CallerServer.js';
import { FeedClient } from '../fleet/FeedClient.js';
import { FleetMembership } from '../fleet/FleetMembership.js';
import { SECTIONS, SECTIONS_WITHOUT_ROLLOUTS } from '../fleet/FleetStore.js';
import { FleetSync } from '../fleet/FleetSync.js';
import { FleetView } from '../fleet/FleetView.js';
import { LimitSync } from '../fleet/LimitSync.js';
import { Neighbours } from '../fleet/Neighbours.js';
import { RolloutSync } from '../fleet/RolloutSync.js';
import type { EventLog } from '../logging/EventLog.js';
import { ObjectStore } from '../platform/index.js';
import type { Section } from '../fleet/FleetStore.js';
import type { ExposureBound } from '../rollouts/index.js';
import type { Clock } from '../timing/index.js';
import { TimerService } from '../timing/index.js';
import { BalancerLoop } from './BalancerLoop.js';
import { CallerDoor } from './CallerDoor.js';
import { GatewayMetrics } from './GatewayMetrics.js';
import { GatewayPages } from './GatewayPages.js';
import { getOwnRollout } from './getOwnRollout.js';
import { Prober } from './Prober.js';
import { Sendings } from './Sendings.js';
import { TargetAgents } from './TargetAgents.js';
import { Wakes } from './Wakes.js';
import { writeAddressAnswer } from './writeAddressAnswer.js';

/** Largest head of a request, in bytes; no configuration so far allows more. */
const HEADER_BYTES = 32 * 1024;

const MOST_CONNECTIONS = 2_000;

/** Before the end of the grace period, the process ends by itself so much earlier, in ms. */
const END_MARGIN_MS = 400;

/** After a planned stop began the process stays at least so long, for callers who know it yet. */
const STOP_LEAST_MS = 3_300;

const POLL_MS = 20;

/** Idle connections live longer than the configured time, in ms: a request may be on its way. */
const IDLE_MARGIN_MS = 500;

/** What a test may put in place of the process's own. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: EventLog;
  random(): number;
}

/** What every entry VM runs on the platform. */
export class GatewayProcess {
  /** What the process knows; for tests and reports, read only. */
  readonly state: BalancerState;

  /** @internal */
  private readonly timers: TimerService;

  /** @internal */
  private readonly view: FleetView;

  /** @internal */
  private readonly store: ObjectStore;

  /** @internal */
  private readonly sync: FleetSync;

  /** @internal */
  private readonly membership: FleetMembership;

  /** @internal */
  private readonly neighbours: Neighbours;

  /** @internal */
  private readonly limits: LimitSync;

  /** Undefined where operators order no rollouts. @internal */
  private readonly rollouts: RolloutSync | undefined;

  /** @internal */
  private readonly loop: BalancerLoop;

  /** @internal */
  private readonly agents = new TargetAgents();

  /** @internal */
  private readonly prober: Prober;

  /** @internal */
  private readonly sendings: Sendings;

  /** @internal */
  private readonly metrics: GatewayMetrics;

  /** @internal */
  private readonly wakes: Wakes;

  /** @internal */
  private readonly pages: GatewayPages;

  /** @internal */
  private callers: CallerServer | undefined;

  /** @internal */
  private isStopping = false;

  /** @param parts - Settings, clock, log and chance. */
  constructor(private readonly parts: GatewayParts) {
    const { settings, clock, log, random } = parts;
    this.state = createBalancerState(settings.balancing, clock.now());
    this.timers = new TimerService(clock);
    this.store = new ObjectStore(settings.storeAddress, (section, name, reason) =>
      log.write('store.unreadable', { section, name, reason }),
    );
    const run = `${settings.self.name}/${random()}`;
    this.view = new FleetView(clock, run);
    const { self, listen, seeds } = settings;
    const { store, view } = this;
    const { rollouts: bound } = settings.balancing;
    const sections = bound === undefined ? SECTIONS_WITHOUT_ROLLOUTS : SECTIONS;
    const fleetParts = { self, store, view, clock, log, sections, random };
    this.sync = new FleetSync({ ...fleetParts, listen: listen.peers, seeds });
    this.membership = new FleetMembership({
      ...fleetParts,
      isFirstStart: settings.isFirstStart,
      seeds,
      ask: (address, onEnd) => new FeedClient(address, view, clock, onEnd, self),
      onKnown: () => this.sync.begin(),
    });
    const context = {
      get now() {
        return clock.now();
      },
      random,
    };
    this.loop = new BalancerLoop(this.state, context, (effect) => this.run(effect));
    const { dispatch } = this.loop;
    this.prober = new Prober(this.agents, clock, ({ target, bornAt }, end) =>
      dispatch({ kind: 'probeEnded', target, bornAt, end }),
    );
    this.sendings = new Sendings(this.agents, clock, dispatch);
    this.metrics = new GatewayMetrics({
      getStoreCalls: () => this.store.calls,
      getProbes: () => this.prober.sent,
      getTargets: () => countTargets(this.state, clock.now()),
      getCurves: () =>
        new Map([...this.state.curves].map(([service, { learnt }]) => [service, learnt])),
      getRollouts: () => getRolloutFigures(this.state, clock.now()),
      getStoreAgeMs: () => view.getAgeMs(),
      getRequests: () => this.sendings.size,
      getFeedMessages: () => this.sync.sentMessages,
    });
    this.wakes = new Wakes(clock, (request) => dispatch({ kind: 'wakeDue', request }));
    this.pages = new GatewayPages({
      listen: settings.listen,
      metrics: this.metrics,
      log,
      isReady: () => this.isReady,
      writeAddresses: () =>
        writeAddressAnswer(settings, this.neighbours.getReady(), this.isStopping),
    });
    this.neighbours = new Neighbours({
      self: settings.self,
      listen: settings.listen.peers,
      clock,
      log,
      isReady: () => this.isReady,
      onChange: () => this.tellVms(),
      onMessage: (text, address) => {
        if (!this.limits.take(text, address)) this.rollouts?.take(text, address);
      },
    });
    this.limits = this.createLimitSync();
    this.rollouts = bound && this.createRolloutSync(run, bound);
  }

  /** @internal */
  private createLimitSync(): LimitSync {
    const { clock, log } = this.parts;
    return new LimitSync({
      view: this.view,
      clock,
      log,
      neighbours: this.neighbours,
      getFreshReports: () => this.state.limits.getFreshReports(clock.now()),
      dispatch: this.loop.dispatch,
    });
  }

  /** @internal */
  private createRolloutSync(run: string, bound: ExposureBound): RolloutSync {
    const { settings, clock, log } = this.parts;
    const { store, view } = this;
    return new RolloutSync({
      self: settings.self,
      run,
      store,
      view,
      clock,
      log,
      bound,
      send: (text, address) => this.neighbours.send(text, address),
      getOwn: (order) => getOwnRollout(this.state, order, clock.now()),
      onGuidance: (order, guidance, until) =>
        this.loop.dispatch({ kind: 'rolloutGuided', order, guidance, until }),
    });
  }

  /** Starts to listen and to follow the store; resolves once callers can connect. */
  async start(): Promise<void> {
    const { settings, log, clock } = this.parts;
    this.view.onChange(({ section }) => this.takeSection(section));
    this.membership.join();
    await this.listen();
    this.sync.start(this.timers);
    this.neighbours.start(this.timers);
    this.limits.start(this.timers);
    this.rollouts?.start(this.timers);
    const { self } = settings;
    log.write('process.started', { ...self, storeAddress: settings.storeAddress, at: clock.now() });
  }

  /** Whether this VM takes callers. */
  get isReady(): boolean {
    return !this.isStopping && this.view.table !== undefined && this.view.targets.size > 0;
  }

  /** A planned stop: callers are told of other VMs, what is here is ended. Resolves at the end. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    const { clock, log, settings } = this.parts;
    const startedAt = clock.now();
    this.isStopping = true;
    log.write('process.stopping', { requests: this.sendings.size });
    this.loop.dispatch({ kind: 'stopAsked' });
    this.callers?.endKeepAlive();
    this.neighbours.leave();
    this.membership.leave();
    const endsAt = startedAt + settings.graceMs - END_MARGIN_MS;
    const leastAt = Math.min(startedAt + STOP_LEAST_MS, endsAt);
    while (clock.now() < leastAt || (this.sendings.size > 0 && clock.now() < endsAt)) {
      await new Promise<void>((resolve) => {
        clock.after(POLL_MS, resolve);
      });
    }
    log.write('process.stopped', { requests: this.sendings.size });
  }

  /** Ends everything at once. */
  close(): void {
    this.timers.stop();
    this.sync.stop();
    this.neighbours.stop();
    this.wakes.stop();
    this.pages.close();
    this.callers?.destroy();
    this.agents.destroy();
    this.store.close();
  }

  /**
   * Takes settings that have changed.
   * @param settings - The new ones.
   */
  reload(settings: GatewaySettings): void {
    this.store.moveTo(settings.storeAddress);
    this.parts.log.write('process.reloaded', { storeAddress: settings.storeAddress });
  }

  /** @internal */
  private async listen(): Promise<void> {
    const { listen } = this.parts.settings;
    const door = new CallerDoor({
      clock: this.parts.clock,
      sendings: this.sendings,
      dispatch: this.loop.dispatch,
      getLimits: () => this.view.table?.limits,
    });
    this.callers = await CallerServer.listen({
      listen: listen.callers,
      headerBytes: HEADER_BYTES,
      maxConnections: MOST_CONNECTIONS,
    });
    this.callers.handle = (...request) => door.accept(...request);
    await this.pages.listen();
  }

  /** @internal */
  private takeSection(section: Section): void {
    const { dispatch } = this.loop;
    const { view } = this;
    switch (section) {
      case 'configuration':
        if (view.table !== undefined) {
          dispatch({ kind: 'tableRead', table: view.table });
          this.applyLimits();
        }
        break;
      case 'targets':
        dispatch({
          kind: 'targetsRead',
          targets: [...view.targets.values()],
          isPartial: view.isPartial('targets'),
        });
        this.agents.keepOnly(new Set(view.targets.keys()));
        break;
      case 'zonesOut':
        dispatch({ kind: 'zonesOutRead', zones: [...view.zonesOut.keys()] });
        break;
      case 'rollouts':
        dispatch({ kind: 'rolloutsRead', orders: [...view.rollouts.values()] });
        break;
      default:
        this.neighbours.update(view.vms.values());
        this.tellVms();
    }
  }

  /** @internal */
  private applyLimits(): void {
    const { table, vms } = this.view;
    if (table === undefined) return;
    this.callers?.setIdleTimeout(table.limits.idleTimeoutMs + IDLE_MARGIN_MS);
    const connections = table.services.map(({ maxConnections }) => maxConnections);
    this.agents.limits = { maxConnections: Math.min(...connections), vms: Math.max(1, vms.size) };
  }

  /** @internal */
  private tellVms(): void {
    const down = new Set(this.neighbours.getDown());
    const { self } = this.parts.settings;
    const names = new Set([...this.view.vms.keys(), self.name]);
    const announced = [...names].sort();
    const vms = announced.filter((name) => !down.has(name));
    this.loop.dispatch({ kind: 'vmsChanged', vms, announced });
    this.applyLimits();
  }

  /** @internal */
  private run(effect: BalancerEffect): void {
    const { sendings } = this;
    switch (effect.kind) {
      case 'probe':
        this.prober.probe(effect.to, effect.path);
        break;
      case 'sendAttempt':
        sendings.send(effect);
        break;
      case 'cancelAttempt':
        sendings.cancel(effect.attempt);
        break;
      case 'deliver':
        this.wakes.cancel(effect.request);
        sendings.deliver(effect.request, effect.attempt);
        break;
      case 'answer':
        this.wakes.cancel(effect.request);
        sendings.answer(effect.request, effect.status, effect.reason, effect.retryAfterMs);
        break;
      case 'wake':
        this.wakes.set(effect.request, effect.at);
        break;
      case 'askPermit':
      case 'answerPermit':
      case 'returnPermit':
      case 'gossipLimits':
        this.limits.run(effect);
        break;
      default:
        this.metrics.note(effect);
        this.parts.log.write(effect.event, effect.fields);
    }
  }
}
