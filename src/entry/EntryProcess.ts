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
import type { OwnPages } from './api/createOwnPages.js';
import { createOwnPages } from './api/createOwnPages.js';
import { Attempts } from './attempts/Attempts.js';
import { ForwardAttempt } from './attempts/ForwardAttempt.js';
import { TargetPools } from './attempts/TargetPools.js';
import type { EffectParts } from './effectRunners.js';
import { runEffect } from './effectRunners.js';
import { CallerGate } from './exchange/CallerGate.js';
import { Exchanges } from './exchange/Exchanges.js';
import { PeerGate } from './exchange/PeerGate.js';
import { ServiceFinder } from './exchange/ServiceFinder.js';
import { Loop } from './Loop.js';
import { EntryMetrics } from './metrics/EntryMetrics.js';
import { ServiceLevels } from './metrics/ServiceLevels.js';
import { Prober } from './Prober.js';

/** What a test or a demo may put in place of the process's own. */
export interface EntryOptions {
  readonly clock?: Clock;
  readonly logger?: Logger;
}

/** How often channels that went unused are looked for, in milliseconds. */
const IDLE_CHANNELS_MS = 10_000;

/** How long requests that are in sockets already are waited for at a planned stop. */
const LAST_REQUESTS_MS = 200;

/** How long the last answers may take to reach their callers at a planned stop. */
const LAST_ANSWERS_MS = 5_000;

/** How long storing the last service-level counts may take. */
const LAST_FLUSH_MS = 1_000;

const POLL_MS = 5;

/** Least time between two rounds of periodic jobs while requests are here, and while none are. */
const BUSY_GAP_MS = 5;
const IDLE_GAP_MS = 20;

const SILENT: Logger = { debug() {}, info() {}, warn() {}, error() {} };

/** What the process listens with. */
interface Servers {
  readonly callers: CallerServer;
  readonly peers: PeerServer;
}

async function listen({ core, bounds, ...settings }: EntrySettings): Promise<Servers> {
  const peers = await PeerServer.start({ self: core.self.id, ...settings.peerListen });
  const callers = await CallerServer.listen({
    listen: settings.listen,
    headerBytes: bounds.headerBytes,
    maxConnections: bounds.callerConnections,
  });
  return { callers, peers };
}

/** Puts the ports that the system chose where the settings leave them open by port 0. */
function withBoundAddresses(settings: EntrySettings, servers: Servers): EntrySettings {
  const self = { ...settings.core.self };
  if (settings.listen.port === 0) self.address = servers.callers.address;
  if (settings.peerListen.port === 0) self.peerAddress = servers.peers.address;
  return { ...settings, core: { ...settings.core, self } };
}

/** One entry process: what every entry VM runs. */
export class EntryProcess {
  /** @internal */
  private readonly timers: TimerService;

  /** @internal */
  private readonly exchanges = new Exchanges();

  /** @internal */
  private readonly loop: Loop;

  /** @internal */
  private readonly pools: TargetPools;

  /** @internal */
  private readonly store: StoreClient;

  /** @internal */
  private readonly peers: PeerClient;

  /** @internal */
  private readonly callerGate: CallerGate;

  /** @internal */
  private readonly metrics: EntryMetrics;

  /** @internal */
  private readonly levels: ServiceLevels;

  /** @internal */
  private ownPages: OwnPages | undefined;

  /** @internal */
  private signalExit: () => void = () => {};

  /** @internal */
  private readonly exited = new Promise<void>((resolve) => {
    this.signalExit = resolve;
  });

  /** @internal */
  private closing: Promise<void> | undefined;

  /** What the process knows; for tests and reports, read only. */
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
      this.exchanges.size > 0 ? BUSY_GAP_MS : IDLE_GAP_MS,
    );
    const context = {
      get now() {
        return clock.now();
      },
      random: Math.random,
    };
    this.loop = new Loop(this.state, context, (effect) => runEffect(effect, this.effectParts));
    const { dispatch } = this.loop;
    this.pools = new TargetPools(dispatch);
    this.store = new StoreClient({ url: settings.storeUrl, timeoutMs: settings.storeTimeoutMs });
    this.peers = new PeerClient({
      self: settings.core.self.id,
      onFailed: (peer, reason) => dispatch({ kind: 'peerSendFailed', peer, reason }),
    });
    this.metrics = new EntryMetrics(this.state, () => clock.now());
    const { exchanges, state, store, metrics } = this;
    this.levels = new ServiceLevels({ state, store, metrics, logger });
    const finder = new ServiceFinder(this.state);
    this.callerGate = new CallerGate({
      clock,
      bounds: settings.bounds,
      exchanges,
      finder,
      dispatch,
      onEnded: (exchange, milliseconds) => this.levels.record(exchange, milliseconds),
    });
    this.effectParts = this.createEffectParts();
  }

  /** @internal */
  private readonly effectParts: EffectParts;

  /**
   * Starts a process; resolves once it listens.
   * @param settings - Its checked settings. Port 0 takes any free port.
   * @param options - What to put in place of the process's own clock and logger.
   * @example
   * const entry = await EntryProcess.start(settings, { logger });
   */
  static async start(settings: EntrySettings, options: EntryOptions = {}): Promise<EntryProcess> {
    const servers = await listen(settings);
    const entry = new EntryProcess(
      withBoundAddresses(settings, servers),
      options.clock ?? new SystemClock(),
      options.logger ?? SILENT,
      servers,
    );
    await entry.serve();
    return entry;
  }

  /** Where callers connect: IP number and port. */
  get address(): string {
    return this.servers.callers.address;
  }

  /** Where other entry VMs connect: IP number and port. */
  get peerAddress(): string {
    return this.servers.peers.address;
  }

  /** Resolves once the process has ended all its work, after `stop` or at the core's wish. */
  async waitForExit(): Promise<void> {
    await this.exited;
    await this.finish();
    await this.close();
  }

  /**
   * Stops gracefully: takes itself out of the address answers, serves until those have run out,
   * ends every request, hands its targets over. Cuts nothing.
   * @example
   * process.once('SIGTERM', () => entry.stop());
   */
  async stop(): Promise<void> {
    this.logger.info('entry', 'a planned stop begins');
    this.servers.callers.endKeepAlive();
    this.loop.dispatch({ kind: 'stopAsked' });
    await this.waitForExit();
  }

  /** Ends at once, as if the VM had failed; for tests. */
  async kill(): Promise<void> {
    this.signalExit();
    await this.close();
  }

  /** @internal */
  private async serve(): Promise<void> {
    const { settings, clock, exchanges, state, metrics, servers } = this;
    const { dispatch } = this.loop;
    const { bounds, adminToken } = settings;
    const peerGate = new PeerGate({ state, clock, bounds, exchanges, dispatch });
    servers.peers.onMessage = (from, message) =>
      dispatch({ kind: 'peerMessageArrived', from, message });
    servers.peers.onForward = (from, call) => peerGate.accept(from, call);
    const ownPages = await createOwnPages({ state, clock, metrics, adminToken, dispatch });
    this.ownPages = ownPages;
    servers.callers.handle = (req, res, awaitsContinue, heldMs) => {
      if (this.callerGate.accept(req, res, awaitsContinue, heldMs)) return;
      if (awaitsContinue) res.writeContinue();
      ownPages.handler(req, res);
    };
    this.startJobs();
    this.logger.info('entry', `${settings.core.self.id} takes callers at ${this.address}`);
  }

  /** @internal */
  private startJobs(): void {
    for (const [job, periodMs] of Object.entries(JOB_PERIODS_MS)) {
      this.timers.subscribe(periodMs, () =>
        this.loop.dispatch({ kind: 'jobDue', job: job as PeriodicJob }),
      );
    }
    const vmList = new VmListClient(this.settings.vmListUrl);
    const readVmList = (): void => {
      vmList
        .read()
        .then((vms) => this.loop.dispatch({ kind: 'vmListRead', vms }))
        .catch((error: Error) => this.logger.warn('entry', error.message));
    };
    readVmList();
    this.timers.subscribe(this.settings.vmListPeriodMs, readVmList);
    this.levels.subscribe(this.timers);
    this.timers.subscribe(IDLE_CHANNELS_MS, () => this.peers.closeIdleChannels());
  }

  /**
   * Ends what came until the last moment. Requests may lie unread in sockets, above all if the
   * process was paused just before the core let it exit: closing them at once would cut them.
   * @internal
   */
  private async finish(): Promise<void> {
    const { callers } = this.servers;
    if (this.closing !== undefined) return;
    callers.stopListening();
    const endsBy = this.clock.now() + LAST_ANSWERS_MS;
    await this.wait(LAST_REQUESTS_MS);
    while (this.exchanges.size > 0 && this.clock.now() < endsBy) await this.wait(POLL_MS);
    await Promise.race([this.levels.flush().catch(() => {}), this.wait(LAST_FLUSH_MS)]);
  }

  /** @internal */
  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(milliseconds, resolve);
    });
  }

  /** @internal */
  private createEffectParts(): EffectParts {
    const { clock, exchanges, pools, peers, loop, settings, state } = this;
    const { dispatch } = loop;
    const attempts = new Attempts({
      clock,
      exchanges,
      pools,
      dispatch,
      storedAnswerBytes: settings.bounds.storedAnswerBytes,
      createForward: ({ peer, peerAddress, ...parts }) =>
        new ForwardAttempt({ ...parts, open: () => peers.forward(peer, peerAddress) }),
      onBodyTooLarge: (request) => this.callerGate.refuseLargeBody(request),
      onEnded: (to, milliseconds) => this.metrics.observeAttempt(to, milliseconds),
      state,
    });
    return {
      loop,
      attempts,
      exchanges,
      pools,
      peers,
      prober: new Prober(pools, (target) => canSendTo(state, target, clock.now()), dispatch),
      store: this.store,
      metrics: this.metrics,
      logger: this.logger,
      onExit: () => this.signalExit(),
    };
  }

  /** @internal */
  private close(): Promise<void> {
    this.closing ??= this.closeParts();
    return this.closing;
  }

  /** @internal */
  private async closeParts(): Promise<void> {
    this.timers.stop();
    this.servers.callers.destroy();
    this.servers.peers.close();
    await this.ownPages?.close();
    this.peers.close();
    await this.pools.destroy();
    await this.store.close();
    this.logger.info('entry', 'stopped');
  }
}
