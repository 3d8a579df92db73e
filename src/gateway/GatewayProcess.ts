import type { BalancerContext, BalancerEffect, BalancerState } from '../balancing/index.js';
import { createBalancerState } from '../balancing/index.js';
import { isKeyUnknown } from '../balancing/keyChecks.js';
import type { GatewaySettings } from '../config/index.js';
import { CallerServer } from '../entry/api/CallerServer.js';
import { FeedClient } from '../fleet/FeedClient.js';
import { FleetMembership } from '../fleet/FleetMembership.js';
import { SECTIONS, SECTIONS_WITHOUT_ROLLOUTS } from '../fleet/FleetStore.js';
import { FleetSync } from '../fleet/FleetSync.js';
import { FleetView } from '../fleet/FleetView.js';
import { dividePropagation } from '../fleet/propagation.js';
import { NeighbourMonitor } from '../fleet/NeighbourMonitor.js';
import type { EventLog } from '../logging/EventLog.js';
import { ObjectStore } from '../platform/index.js';
import type { Section } from '../fleet/FleetStore.js';
import type { Clock } from '../timing/index.js';
import { TimerService } from '../timing/index.js';
import { ActiveRequests } from './ActiveRequests.js';
import type { EffectRunner } from './BalancerLoop.js';
import { BalancerLoop } from './BalancerLoop.js';
import { BodyMemory } from './BodyMemory.js';
import { CallerRequestHandler } from './CallerRequestHandler.js';
import { createStateSources } from './createStateSources.js';
import { createStoreHandlers } from './createStoreHandlers.js';
import { countSharingVms, describeVms, isVmAddress } from './describeVms.js';
import { GatewayEndpoints } from './GatewayEndpoints.js';
import { GatewayMetrics } from './GatewayMetrics.js';
import { RequestTimers } from './RequestTimers.js';
import { TargetAgents } from './TargetAgents.js';
import { TargetProber } from './TargetProber.js';
import { VmMessages } from './VmMessages.js';
import { writeAddressAnswer } from './writeAddressAnswer.js';

/** Largest head of a request, in bytes; no configuration so far allows more. */
const MAX_HEADER_BYTES = 32 * 1024;

/** Connections accepted from callers at the same time. */
const MAX_CONNECTIONS = 2_000;

/** The process exits this long before the end of the grace period, in milliseconds. */
const GRACE_MARGIN_MS = 400;

/**
 * A planned stop takes at least this long, in milliseconds: until then callers may still use the
 * address of this VM.
 */
const MIN_STOP_MS = 3_300;

/** Interval at which a planned stop checks for open requests, in milliseconds. */
const STOP_POLL_MS = 20;

/**
 * Callers' idle connections are kept this much longer than configured, in milliseconds: a request
 * may already be in transit when the configured time ends.
 */
const IDLE_MARGIN_MS = 500;

/** Dependencies of `GatewayProcess`; tests supply their own. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: EventLog;
  random(): number;
}

type EffectHandlers = {
  readonly [K in BalancerEffect['kind']]: (effect: Extract<BalancerEffect, { kind: K }>) => void;
};

function createContext({ clock, random }: GatewayParts): BalancerContext {
  return {
    get now() {
      return clock.now();
    },
    random,
  };
}

/** The gateway: the process that runs on every entry VM of the platform. */
export class GatewayProcess {
  /** The balancer's state; tests and reports may read it but must not change it. */
  readonly state: BalancerState;

  /** @internal */
  private readonly timers: TimerService;

  /** @internal */
  private readonly view: FleetView;

  /** @internal */
  private readonly store: ObjectStore;

  /** @internal */
  private readonly fleetSync: FleetSync;

  /** @internal */
  private readonly membership: FleetMembership;

  /** @internal */
  private readonly neighbours: NeighbourMonitor;

  /** @internal */
  private readonly messages: VmMessages;

  /** @internal */
  private readonly loop: BalancerLoop;

  /** @internal */
  private readonly agents = new TargetAgents();

  /** Connection pools of other entry VMs, for requests that are passed on. @internal */
  private readonly vmAgents = new TargetAgents();

  /** @internal */
  private readonly prober: TargetProber;

  /** @internal */
  private readonly memory: BodyMemory;

  /** @internal */
  private readonly activeRequests: ActiveRequests;

  /** @internal */
  private readonly metrics: GatewayMetrics;

  /** @internal */
  private readonly wakeTimers: RequestTimers;

  /** @internal */
  private readonly endpoints: GatewayEndpoints;

  /** @internal */
  private callerServer: CallerServer | undefined;

  /** @internal */
  private isStopping = false;

  /** The planned stop in progress. @internal */
  private stopped: Promise<void> | undefined;

  /** @internal */
  private readonly effectHandlers: EffectHandlers = {
    probe: ({ to, path }) => this.prober.probe(to, path),
    sendAttempt: (effect) => this.activeRequests.startAttempt(effect),
    forwardRequest: (effect) =>
      this.activeRequests.startForward(effect, this.view.vms.get(effect.vm)?.callers),
    cancelAttempt: ({ attempt }) => this.activeRequests.cancelAttempt(attempt),
    dropIdleConnections: ({ targets }) => targets.forEach((to) => this.agents.destroyIdle(to)),
    deliver: (effect) => {
      this.wakeTimers.cancel(effect.request);
      this.activeRequests.deliver(effect);
    },
    answer: ({ request, status, reason, retryAfterMs }) => {
      this.wakeTimers.cancel(request);
      this.activeRequests.answer(request, status, reason, retryAfterMs);
    },
    wake: ({ request, at }) => this.wakeTimers.set(request, at),
    askPermit: (effect) => this.messages.runEffect(effect),
    answerPermit: (effect) => this.messages.runEffect(effect),
    returnPermit: (effect) => this.messages.runEffect(effect),
    askQuota: (effect) => this.messages.runEffect(effect),
    answerQuota: (effect) => this.messages.runEffect(effect),
    returnQuota: (effect) => this.messages.runEffect(effect),
    gossipLimits: (effect) => this.messages.runEffect(effect),
    gossipCrashes: (effect) => this.messages.runEffect(effect),
    log: (effect) => {
      this.metrics.record(effect);
      this.parts.log.write(effect.event, effect.fields);
    },
  };

  /** @param parts - Settings, clock, log and random numbers. */
  constructor(private readonly parts: GatewayParts) {
    const { settings, clock, log, random } = parts;
    this.state = createBalancerState(settings.balancing, clock.now());
    this.timers = new TimerService(clock);
    this.store = new ObjectStore(settings.storeAddress, createStoreHandlers(log));
    const runId = `${settings.self.name}/${random()}`;
    this.view = new FleetView(clock, runId);
    const { self, listen, seeds } = settings;
    const { store, view } = this;
    const { rollouts: exposureBound } = settings.balancing;
    const sections = exposureBound === undefined ? SECTIONS_WITHOUT_ROLLOUTS : SECTIONS;
    const propagation = dividePropagation(settings.changeBoundMs);
    const fleetParts = { self, store, view, clock, log, sections, propagation, random };
    this.fleetSync = new FleetSync({ ...fleetParts, listen: listen.peers, seeds });
    this.membership = new FleetMembership({
      ...fleetParts,
      isFirstStart: settings.isFirstStart,
      seeds,
      requestAnnouncement: (address, onEnd) => new FeedClient(address, view, clock, onEnd, self),
      onVmsKnown: () => this.fleetSync.begin(),
    });
    this.loop = new BalancerLoop(this.state, createContext(parts), (effect) =>
      this.runEffect(effect),
    );
    const { dispatch } = this.loop;
    this.prober = new TargetProber(this.agents, clock, ({ target, bornAt }, end) =>
      dispatch({ kind: 'probeEnded', target, bornAt, end }),
    );
    this.memory = new BodyMemory(settings.memoryMb, () => clock.now());
    this.activeRequests = new ActiveRequests({
      agents: this.agents,
      vmAgents: this.vmAgents,
      clock,
      memory: this.memory,
      dispatch,
      log: (effect) => this.runEffect(effect),
    });
    this.metrics = new GatewayMetrics({
      getStoreCallCounts: () => this.store.calls,
      getProbeCount: () => this.prober.sentProbes,
      ...createStateSources(this.state, clock),
      getStoreAgeMs: () => view.confirmations.getAgeMs(),
      getBodyMemory: () => this.memory,
      getOpenRequestCount: () => this.activeRequests.size,
      getFeedMessageCount: () => this.fleetSync.sentMessages,
    });
    this.wakeTimers = new RequestTimers(clock, (request) => dispatch({ kind: 'wakeDue', request }));
    this.endpoints = new GatewayEndpoints({
      listen: settings.listen,
      metrics: this.metrics,
      log,
      isReady: () => this.isReady,
      writeAddresses: () =>
        writeAddressAnswer(settings, this.neighbours.getReadyVms(), this.isStopping),
    });
    this.neighbours = new NeighbourMonitor({
      self: settings.self,
      listen: settings.listen.peers,
      clock,
      log,
      isReady: () => this.isReady,
      onChange: () => this.dispatchVmsChanged(),
      onMessage: (text, address) => this.messages.receive(text, address),
    });
    const { state, neighbours } = this;
    this.messages = new VmMessages({ ...fleetParts, settings, runId, state, neighbours, dispatch });
  }

  /**
   * Starts the listeners and the synchronisation with the store; resolves once callers can connect.
   * @throws StartError if an address cannot be listened on.
   */
  async start(): Promise<void> {
    const { settings, log, clock } = this.parts;
    this.view.onChange(({ section }) => this.handleSectionChange(section));
    this.membership.join();
    await this.listen();
    this.fleetSync.start(this.timers);
    this.neighbours.start(this.timers);
    this.messages.start(this.timers);
    const { self } = settings;
    log.write('process.started', { ...self, storeAddress: settings.storeAddress, at: clock.now() });
  }

  /** Whether this VM accepts callers: it is not stopping and knows routes and targets. */
  get isReady(): boolean {
    return !this.isStopping && this.view.table !== undefined && this.view.targets.size > 0;
  }

  /**
   * Performs a planned stop: callers are directed to other VMs while open requests are completed.
   * Resolves when these are done or the grace period is almost over, also if it is asked for again.
   */
  stop(): Promise<void> {
    this.stopped ??= this.completeAndStop();
    return this.stopped;
  }

  /** @internal */
  private async completeAndStop(): Promise<void> {
    const { clock, log, settings } = this.parts;
    const startedAt = clock.now();
    this.isStopping = true;
    log.write('process.stopping', { requests: this.activeRequests.size });
    this.loop.dispatch({ kind: 'stopAsked' });
    this.callerServer?.endKeepAlive();
    this.neighbours.announceLeaving();
    this.membership.leave();
    const latestAt = startedAt + settings.graceMs - GRACE_MARGIN_MS;
    const earliestAt = Math.min(startedAt + MIN_STOP_MS, latestAt);
    while (clock.now() < earliestAt || (this.activeRequests.size > 0 && clock.now() < latestAt)) {
      await new Promise<void>((resolve) => {
        clock.after(STOP_POLL_MS, resolve);
      });
    }
    log.write('process.stopped', { requests: this.activeRequests.stop() });
  }

  /** Stops all components at once, without waiting for open requests. */
  close(): void {
    this.timers.stop();
    this.fleetSync.stop();
    this.neighbours.stop();
    this.wakeTimers.stop();
    this.endpoints.close();
    this.callerServer?.destroy();
    this.agents.destroy();
    this.vmAgents.destroy();
    this.store.close();
  }

  /**
   * Applies changed settings. Only the store's address takes effect without a restart.
   * @param settings - The new settings.
   */
  reload(settings: GatewaySettings): void {
    this.store.setAddress(settings.storeAddress);
    this.parts.log.write('process.reloaded', { storeAddress: settings.storeAddress });
  }

  /** @internal */
  private async listen(): Promise<void> {
    const { listen } = this.parts.settings;
    const requestHandler = new CallerRequestHandler({
      clock: this.parts.clock,
      activeRequests: this.activeRequests,
      memory: this.memory,
      random: this.parts.random,
      log: (effect) => this.runEffect(effect),
      dispatch: this.loop.dispatch,
      getCallerLimits: () => this.view.table?.limits,
      isVmAddress: (ip) => isVmAddress(this.view.vms.values(), ip),
      isKeyUnknown: (head) => isKeyUnknown(this.state, head, this.parts.clock.now()),
      hasOrganisations: () => this.state.keys.isRequired,
    });
    this.callerServer = await CallerServer.listen({
      listen: listen.callers,
      headerBytes: MAX_HEADER_BYTES,
      maxConnections: MAX_CONNECTIONS,
    });
    requestHandler.start(this.timers);
    this.activeRequests.start(this.timers);
    this.callerServer.handle = (...request) => requestHandler.handle(...request);
    await this.endpoints.listen();
  }

  /** @internal */
  private handleSectionChange(section: Section): void {
    const { dispatch } = this.loop;
    const { view } = this;
    switch (section) {
      case 'configuration':
        if (view.table !== undefined) {
          dispatch({ kind: 'tableRead', table: view.table });
          this.applyConnectionLimits();
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
        this.dispatchVmsChanged();
    }
  }

  /** @internal */
  private applyConnectionLimits(): void {
    const { table, vms } = this.view;
    if (table === undefined) return;
    this.callerServer?.setIdleTimeout(table.limits.idleTimeoutMs + IDLE_MARGIN_MS);
    const connections = table.services.map(({ maxConnections }) => maxConnections);
    const vmCount = countSharingVms(this.parts.settings.self.name, [...vms.keys()]);
    this.agents.limits = { maxConnections: Math.min(...connections), vms: vmCount };
  }

  /** @internal */
  private dispatchVmsChanged(): void {
    const { view, neighbours, parts } = this;
    const event = describeVms({
      self: parts.settings.self.name,
      listed: [...view.vms.keys()],
      isPartial: view.isPartial('vms'),
      down: neighbours.getDownNames(),
    });
    this.loop.dispatch(event);
    this.applyConnectionLimits();
  }

  /** @internal */
  private runEffect(effect: BalancerEffect): void {
    const handle = this.effectHandlers[effect.kind] as EffectRunner;
    handle(effect);
  }
}
