import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';

import type { CallerLimits, Route } from '../../balancing/index.js';
import { parseGatewaySettings } from '../../config/readGatewaySettings.js';
import { GatewayProcess } from '../../gateway/GatewayProcess.js';
import { EventLog } from '../../logging/EventLog.js';
import type { ConfiguredOrganisation } from '../../platform/standIn/index.js';
import { PlatformStore, putConfiguration, putTarget } from '../../platform/standIn/index.js';
import { findPorts } from '../../soak/findPorts.js';
import { SystemClock } from '../../timing/index.js';
import { ROUTE } from '../balancing/scene.js';
import { waitUntil } from '../entry/fixtures.js';
import { ALLOWED_MS, CallerSocket } from './CallerSocket.js';

const TARGET = 't-1';

/** Stands for the id of a request whose caller sent none. */
export const WITHOUT_ID = 'without id';
const SLOTS = 64;
const LISTENERS = ['callers', 'readiness', 'addresses', 'peers', 'metrics'] as const;

/** Small limits, so that tests that exceed them need few bytes. */
const LIMITS: CallerLimits = {
  bodyBytes: 4_096,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 10_000,
};

/** What is configured besides the usual route and target. */
export interface HarnessOptions {
  /** Undefined if callers need no keys. */
  readonly organisations?: readonly ConfiguredOrganisation[];
  readonly extraRoutes?: readonly Route[];
  /** Largest request body, in bytes. */
  readonly bodyBytes?: number;
  /** Address of a target in place of the harness's own. */
  readonly targetAddress?: string;
  /** Time that routes allow, in milliseconds; longer than any test takes by default. */
  readonly timeoutMs?: number;
}

/** A gateway on loopback with a store, and a target that holds requests until they are released. */
export class GatewayHarness {
  /** Ids of the requests that the target has started, in that order. */
  readonly startedIds: string[] = [];

  /** Headers of the request that the target has started last. */
  lastHeaders: IncomingHttpHeaders = {};

  /** The same, as alternating names and values. */
  lastRawHeaders: readonly string[] = [];

  /** Body of the request that the target has started last, as far as it has arrived. */
  lastBody = '';

  /** Version of the configuration that was published last. @internal */
  private version = 1;

  /** Further gateways that tests have started. @internal */
  private readonly others: GatewayProcess[] = [];

  /** Ids of the requests whose connection to the target was closed before they were answered. */
  readonly abortedIds: string[] = [];

  /** Lines that the gateway has logged. */
  readonly logLines: { readonly event: string; readonly id?: string; readonly reason?: string }[] =
    [];

  /** Connections over which the target has received requests of callers. */
  readonly targetSockets = new Set<Socket>();

  /** Size of each answer's body in bytes. */
  answerBytes = 4;

  /** @internal */
  private readonly heldAnswers = new Map<string, ServerResponse>();

  /** @internal */
  private stopped: Promise<void> | undefined;

  /** @internal */
  private constructor(
    readonly store: PlatformStore,
    private readonly target: Server,
    readonly ports: readonly number[],
    readonly gateway: GatewayProcess,
  ) {}

  /** Starts store, target and gateway; resolves once the gateway is ready. */
  static async start(options: HarnessOptions = {}): Promise<GatewayHarness> {
    const store = new PlatformStore();
    await store.start();
    let harness: GatewayHarness | undefined;
    const target = createServer((req, res) => harness?.holdRequest(req, res));
    await new Promise<void>((resolve) => {
      target.listen(0, '127.0.0.1', resolve);
    });
    const ownAddress = `127.0.0.1:${(target.address() as AddressInfo).port}`;
    GatewayHarness.configure(store, options.targetAddress ?? ownAddress, options);
    const ports = await findPorts(LISTENERS.length);
    const log = GatewayHarness.createLog('vm-1', (line) => harness?.logLines.push(line));
    const gateway = GatewayHarness.createGateway('vm-1', ports, store.address, log);
    harness = new GatewayHarness(store, target, ports, gateway);
    await gateway.start();
    await waitUntil(() => gateway.isReady);
    return harness;
  }

  /** Starts a further gateway that reaches the store at an address; resolves once it is ready. */
  async startOther(storeAddress: string): Promise<readonly number[]> {
    const ports = await findPorts(LISTENERS.length);
    const log = GatewayHarness.createLog('vm-2', (line) => this.logLines.push(line));
    const gateway = GatewayHarness.createGateway('vm-2', ports, storeAddress, log);
    this.others.push(gateway);
    await gateway.start();
    await waitUntil(() => gateway.isReady);
    return ports;
  }

  /** @internal */
  private static createLog(
    vm: string,
    add: (line: GatewayHarness['logLines'][number]) => void,
  ): EventLog {
    return new EventLog(vm, {
      write: (lines, done) => {
        for (const line of lines.trim().split('\n')) add(JSON.parse(line));
        done();
      },
      now: () => performance.now(),
      wallNow: () => Date.now(),
    });
  }

  /** @internal */
  private static createGateway(
    vm: string,
    ports: readonly number[],
    storeAddress: string,
    log: EventLog,
  ): GatewayProcess {
    const listen = LISTENERS.map((name, i) => `${name} = 127.0.0.1:${ports[i]}`).join('\n');
    const text =
      `[process]\nvm = ${vm}\nzone = quai\nregion = here\nfirst-start = true\n[listen]\n${listen}\n` +
      `[store]\naddress = ${storeAddress}\n[bounds]\nretry-slack = 60\ngrace = 4s\n`;
    const settings = parseGatewaySettings('gateway.ini', text);
    const clock = new SystemClock();
    return new GatewayProcess({ settings, clock, log, random: Math.random });
  }

  /** Publishes a later configuration. */
  publish(options: HarnessOptions): void {
    this.version += 1;
    GatewayHarness.putTable(this.store, options, this.version);
  }

  /** @internal */
  private static putTable(store: PlatformStore, options: HarnessOptions, version: number): void {
    const { organisations, extraRoutes = [], bodyBytes = LIMITS.bodyBytes } = options;
    // Requests must not time out, however long a test takes on a busy machine.
    const { timeoutMs = ALLOWED_MS } = options;
    const times = { objectiveMs: timeoutMs, timeoutMs };
    const table = {
      version,
      routes: [ROUTE, ...extraRoutes].map((route) => ({ ...route, ...times })),
      services: [
        { name: 'horaires', healthPath: '/health', maxConnections: 220, coldRequestsPerSecond: 2 },
      ],
      limits: { ...LIMITS, bodyBytes },
    };
    putConfiguration(store, table, organisations);
  }

  /** @internal */
  private static configure(store: PlatformStore, address: string, options: HarnessOptions): void {
    GatewayHarness.putTable(store, options, 1);
    putTarget(store, {
      id: TARGET,
      service: 'horaires',
      address,
      zone: 'quai',
      version: 'v1',
      bornAt: 1,
      slots: SLOTS,
      isDraining: false,
      coldMs: 0,
    });
  }

  /** Opens a caller's connection. */
  async connect(port = this.ports[0]): Promise<CallerSocket> {
    const socket = connect(port, '127.0.0.1');
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    return new CallerSocket(socket);
  }

  /** Lets the target answer a request. */
  release(id: string): void {
    const echo = id === WITHOUT_ID ? {} : { 'X-Masticlink-Request-Id': id };
    this.heldAnswers
      .get(id)
      ?.writeHead(200, {
        ...echo,
        'X-Masticlink-Response-Signature': `s.${id}`,
        'Content-Length': this.answerBytes,
      })
      .end('x'.repeat(this.answerBytes));
    this.heldAnswers.delete(id);
  }

  /** Begins a planned stop of the gateway. */
  beginStop(): void {
    this.stopped = this.gateway.stop();
  }

  /** Waits until the target has started `count` requests. */
  async waitForStarted(count: number): Promise<void> {
    await waitUntil(() => this.startedIds.length >= count);
  }

  /** Waits until a condition holds. */
  readonly waitUntil = waitUntil;

  /** Waits a while, so that anything that must not happen has the time to happen. */
  async pause(ms: number): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }

  /** Stops gateway, target and store. */
  async stop(): Promise<void> {
    await this.stopped;
    this.gateway.close();
    for (const gateway of this.others) gateway.close();
    this.target.close();
    this.target.closeAllConnections();
    await this.store.stop();
  }

  /** @internal */
  private holdRequest(req: IncomingMessage, res: ServerResponse): void {
    const { 'x-masticlink-request-id': id = WITHOUT_ID } = req.headers;
    if (typeof id !== 'string') return;
    res.setHeader('X-Masticlink-Server-Load', `${this.heldAnswers.size},0,${SLOTS},100`);
    res.setHeader('X-Masticlink-Instance-Id', TARGET);
    if (req.url === '/health') {
      res.end();
      return;
    }
    this.lastBody = '';
    req.on('data', (chunk: Buffer) => {
      this.lastBody += chunk.toString();
    });
    this.targetSockets.add(req.socket);
    this.startedIds.push(id);
    this.lastHeaders = req.headers;
    this.lastRawHeaders = req.rawHeaders;
    this.heldAnswers.set(id, res);
    res.once('close', () => {
      if (!res.writableFinished) this.abortedIds.push(id);
    });
  }
}
