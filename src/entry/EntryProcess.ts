import type { EntrySettings } from '../config/index.js';
import type { EntryState, PeriodicJob } from '../core/index.js';
import { createEntryState, JOB_PERIODS_MS, canSendTo } from '../core/index.js';
import type { Logger } from '../logging/Logger.js';
import { PeerClient, PeerServer } from '../peers/index.js';
import { StoreClient } from '../store/index.js';
import type { Clock } from '../timing/index.js';
import { SystemClock, TimerService } from '../timing/index.js';
import { VmListClient } from '../vms/index.js';
import { CallerServer } from './api/CallerServer.js';
import type { ProcessApi } from './api/createProcessApi.js';
import { createProcessApi } from './api/createProcessApi.js';
import { AttemptRunner } from './attempts/AttemptRunner.js';
import { ForwardAttempt } from './attempts/ForwardAttempt.js';
import { TargetPools } from './attempts/TargetPools.js';
import type { EffectParts } from './effectRunners.js';
import { runEffect } from './effectRunners.js';
import { CallerRequestHandler } from './exchange/CallerRequestHandler.js';
import { Exchanges } from './exchange/Exchanges.js';
import { PeerRequestHandler } from './exchange/PeerRequestHandler.js';
import { ServiceFinder } from './exchange/ServiceFinder.js';
import { EventLoop } from './EventLoop.js';
import { EntryMetrics } from './metrics/EntryMetrics.js';
import { ServiceLevels } from './metrics/ServiceLevels.js';
import { HealthProber } from './HealthProber.js';

/** Replacements for the process's own clock and logger, for tests and demos. */
export interface EntryOptions {
  readonly clock?: Clock;
  readonly logger?: Logger;
}

/** Interval between checks for idle channels to other entry VMs, in milliseconds. */
const IDLE_CHANNEL_CHECK_INTERVAL_MS = 10_000;

/**
 * Time at the exit for reading requests that have already arrived in socket buffers, in
 * milliseconds.
 */
const UNREAD_REQUESTS_WAIT_MS = 200;

/** Time limit for answering the requests that are still open at the exit, in milliseconds. */
const DRAIN_TIMEOUT_MS = 5_000;

/** Time limit at the exit for storing the remaining service-level counts, in milliseconds. */
const FINAL_FLUSH_TIMEOUT_MS = 1_000;

/** Interval between checks whether open requests have been answered, in milliseconds. */
const DRAIN_POLL_MS = 5;

/** Minimum time between two rounds of periodic jobs while requests are open, and while none are. */
const BUSY_MIN_JOB_INTERVAL_MS = 5;
const IDLE_MIN_JOB_INTERVAL_MS = 20;

const NOOP_LOGGER: Logger = { debug() {}, info() {}, warn() {}, error() {} };

/** The servers that the process listens with. */
interface Servers {
  readonly callers: CallerServer;
  readonly peers: PeerServer;
}

async function startServers({ core, bounds, ...settings }: EntrySettings): Promise<Servers> {
  const peers = await PeerServer.start({ self: core.self.id, ...settings.peerListen });
  const callers = await CallerServer.listen({
    listen: settings.listen,
    headerBytes: bounds.headerBytes,
    maxConnections: bounds.callerConnections,
  });
  return { callers, peers };
}

/** Replaces port 0 in the advertised addresses with the port that the operating system assigned. */
function resolveBoundAddresses(settings: EntrySettings, servers: Servers): EntrySettings {
  const self = { ...settings.core.self };
  if (settings.listen.port === 0) self.address = servers.callers.address;
  if (settings.peerListen.port === 0) self.peerAddress = servers.peers.address;
  return { ...settings, core: { ...settings.core, self } };
}

/** The entry process, which runs on every entry VM. */
export class EntryProcess {
  /** @internal */
  private readonly timers: TimerService;

  /** @internal */
  private readonly exchanges = new Exchanges();

  /** @internal */
  private readonly eventLoop: EventLoop;

  /** @internal */
  private readonly pools: TargetPools;

  /** @internal */
  private readonly store: StoreClient;

  /** @internal */
  private readonly peers: PeerClient;

  /** @internal */
  private readonly callerRequestHandler: CallerRequestHandler;

  /** @internal */
  private readonly metrics: EntryMetrics;

  /** @internal */
  private readonly serviceLevels: ServiceLevels;

  /** @internal */
  private processApi: ProcessApi | undefined;

  /** @internal */
  private signalExit: () => void = () => {};

  /** @internal */
  private readonly exitRequested = new Promise<void>((resolve) => {
    this.signalExit = resolve;
  });

  /** @internal */
  private closePromise: Promise<void> | undefined;

  /** The state of the core. Read-only; for tests and reports. */
  readonly state: EntryState;

  /** @internal */
  private constructor(
    private readonly settings: EntrySettings,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly servers: Servers,
  ) {
    this.state = createEntryState(settings.core, clock.now());
    this.timers = new TimerService(clock, () =>
      this.exchanges.size > 0 ? BUSY_MIN_JOB_INTERVAL_MS : IDLE_MIN_JOB_INTERVAL_MS,
    );
    const context = {
      get now() {
        return clock.now();
      },
      random: Math.random,
    };
    this.eventLoop = new EventLoop(this.state, context, (effect) =>
      runEffect(effect, this.effectParts),
    );
    const { dispatch } = this.eventLoop;
    this.pools = new TargetPools(dispatch);
    this.store = new StoreClient({ url: settings.storeUrl, timeoutMs: settings.storeTimeoutMs });
    this.peers = new PeerClient({
      self: settings.core.self.id,
      onFailed: (peer, reason) => dispatch({ kind: 'peerSendFailed', peer, reason }),
    });
    this.metrics = new EntryMetrics(this.state, () => clock.now());
    const { exchanges, state, store, metrics } = this;
    this.serviceLevels = new ServiceLevels({ state, store, metrics, logger });
    const finder = new ServiceFinder(this.state);
    this.callerRequestHandler = new CallerRequestHandler({
      clock,
      bounds: settings.bounds,
      exchanges,
      finder,
      dispatch,
      onEnded: (exchange, milliseconds) => this.serviceLevels.record(exchange, milliseconds),
    });
    this.effectParts = this.createEffectParts();
  }

  /** @internal */
  private readonly effectParts: EffectParts;

  /**
   * Starts a process; resolves once it accepts requests.
   * @param settings - Validated settings. Port 0 selects any free port.
   * @param options - Replacements for the process's own clock and logger.
   * @example
   * const entry = await EntryProcess.start(settings, { logger });
   */
  static async start(settings: EntrySettings, options: EntryOptions = {}): Promise<EntryProcess> {
    const servers = await startServers(settings);
    const entry = new EntryProcess(
      resolveBoundAddresses(settings, servers),
      options.clock ?? new SystemClock(),
      options.logger ?? NOOP_LOGGER,
      servers,
    );
    await entry.serve();
    return entry;
  }

  /** Address that callers connect to, as `IP:port`. */
  get address(): string {
    return this.servers.callers.address;
  }

  /** Address that other entry VMs connect to, as `IP:port`. */
  get peerAddress(): string {
    return this.servers.peers.address;
  }

  /** Resolves once the process has shut down, after `stop` or an `exit` effect of the core. */
  async waitForExit(): Promise<void> {
    await this.exitRequested;
    await this.drainRequests();
    await this.close();
  }

  /**
   * Stops gracefully: removes itself from the address lists that callers get, serves requests until
   * the lists handed out earlier have expired, completes the open requests without aborting any,
   * and hands its targets over.
   * @example
   * process.once('SIGTERM', () => entry.stop());
   */
  async stop(): Promise<void> {
    this.logger.info('entry', 'planned stop started');
    this.servers.callers.endKeepAlive();
    this.eventLoop.dispatch({ kind: 'stopAsked' });
    await this.waitForExit();
  }

  /** Closes everything immediately, as if the VM had failed; for tests. */
  async kill(): Promise<void> {
    this.signalExit();
    await this.close();
  }

  /** @internal */
  private async serve(): Promise<void> {
    const { settings, clock, exchanges, state, metrics, servers } = this;
    const { dispatch } = this.eventLoop;
    const { bounds, adminToken } = settings;
    const peerRequestHandler = new PeerRequestHandler({
      state,
      clock,
      bounds,
      exchanges,
      dispatch,
    });
    servers.peers.onMessage = (from, message) =>
      dispatch({ kind: 'peerMessageArrived', from, message });
    servers.peers.onForward = (from, call) => peerRequestHandler.accept(from, call);
    const processApi = await createProcessApi({ state, clock, metrics, adminToken, dispatch });
    this.processApi = processApi;
    servers.callers.handle = (req, res, hasExpectContinue, queuedMs) => {
      if (this.callerRequestHandler.accept(req, res, hasExpectContinue, queuedMs)) return;
      if (hasExpectContinue) res.writeContinue();
      processApi.handler(req, res);
    };
    this.startJobs();
    this.logger.info('entry', `${settings.core.self.id} accepts callers at ${this.address}`);
  }

  /** @internal */
  private startJobs(): void {
    for (const [job, periodMs] of Object.entries(JOB_PERIODS_MS)) {
      this.timers.subscribe(periodMs, () =>
        this.eventLoop.dispatch({ kind: 'jobDue', job: job as PeriodicJob }),
      );
    }
    const vmList = new VmListClient(this.settings.vmListUrl);
    const readVmList = (): void => {
      vmList
        .read()
        .then((vms) => this.eventLoop.dispatch({ kind: 'vmListRead', vms }))
        .catch((error: Error) => this.logger.warn('entry', error.message));
    };
    readVmList();
    this.timers.subscribe(this.settings.vmListPeriodMs, readVmList);
    this.serviceLevels.scheduleFlushes(this.timers);
    this.timers.subscribe(IDLE_CHANNEL_CHECK_INTERVAL_MS, () => this.peers.closeIdleChannels());
  }

  /**
   * Completes the requests that arrived before the exit. Requests may still be unread in socket
   * buffers, above all if the process was paused just before the core allowed it to exit. Closing
   * the sockets immediately would abort those requests.
   * @internal
   */
  private async drainRequests(): Promise<void> {
    const { callers } = this.servers;
    if (this.closePromise !== undefined) return;
    callers.stopListening();
    const endsAt = this.clock.now() + DRAIN_TIMEOUT_MS;
    await this.delay(UNREAD_REQUESTS_WAIT_MS);
    while (this.exchanges.size > 0 && this.clock.now() < endsAt) await this.delay(DRAIN_POLL_MS);
    await Promise.race([
      this.serviceLevels.flush().catch(() => {}),
      this.delay(FINAL_FLUSH_TIMEOUT_MS),
    ]);
  }

  /** @internal */
  private delay(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(milliseconds, resolve);
    });
  }

  /** @internal */
  private createEffectParts(): EffectParts {
    const { clock, exchanges, pools, peers, eventLoop, settings, state } = this;
    const { dispatch } = eventLoop;
    const attempts = new AttemptRunner({
      clock,
      exchanges,
      pools,
      dispatch,
      storedAnswerBytes: settings.bounds.storedAnswerBytes,
      createForwardAttempt: ({ peer, peerAddress, ...parts }) =>
        new ForwardAttempt({ ...parts, openCall: () => peers.forward(peer, peerAddress) }),
      onBodyTooLarge: (request) => this.callerRequestHandler.refuseLargeBody(request),
      onEnded: (to, milliseconds) => this.metrics.observeAttempt(to, milliseconds),
      state,
    });
    return {
      eventLoop,
      attempts,
      exchanges,
      pools,
      peers,
      prober: new HealthProber(pools, (target) => canSendTo(state, target, clock.now()), dispatch),
      store: this.store,
      metrics: this.metrics,
      logger: this.logger,
      onExit: () => this.signalExit(),
    };
  }

  /** @internal */
  private close(): Promise<void> {
    this.closePromise ??= this.closeParts();
    return this.closePromise;
  }

  /** @internal */
  private async closeParts(): Promise<void> {
    this.timers.stop();
    this.servers.callers.destroy();
    this.servers.peers.close();
    await this.processApi?.close();
    this.peers.close();
    await this.pools.destroy();
    await this.store.close();
    this.logger.info('entry', 'stopped');
  }
}
