import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';

import type { CallerLimits } from '../../balancing/index.js';
import { parseGatewaySettings } from '../../config/readGatewaySettings.js';
import { GatewayProcess } from '../../gateway/GatewayProcess.js';
import { EventLog } from '../../logging/EventLog.js';
import { PlatformStore, putConfiguration, putTarget } from '../../platform/standIn/index.js';
import { findPorts } from '../../soak/findPorts.js';
import { SystemClock } from '../../timing/index.js';
import { ROUTE } from '../balancing/scene.js';
import { waitUntil } from '../entry/fixtures.js';
import { ALLOWED_MS, CallerSocket } from './CallerSocket.js';

const TARGET = 't-1';
const SLOTS = 64;
const LISTENERS = ['callers', 'readiness', 'addresses', 'peers', 'metrics'] as const;

/** Small limits, so that tests that exceed them need few bytes. */
const LIMITS: CallerLimits = {
  bodyBytes: 4_096,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 10_000,
};

/** A gateway on loopback with a store, and a target that holds requests until they are released. */
export class GatewayHarness {
  /** Ids of the requests that the target has started, in that order. */
  readonly startedIds: string[] = [];

  /** Headers of the request that the target has started last. */
  lastHeaders: IncomingHttpHeaders = {};

  /** Ids of the requests whose connection to the target was closed before they were answered. */
  readonly abortedIds: string[] = [];

  /** Lines that the gateway has logged. */
  readonly logLines: { readonly event: string; readonly id?: string }[] = [];

  /** Size of each answer's body in bytes. */
  answerBytes = 4;

  /** @internal */
  private readonly heldAnswers = new Map<string, ServerResponse>();

  /** @internal */
  private stopped: Promise<void> | undefined;

  /** @internal */
  private constructor(
    private readonly store: PlatformStore,
    private readonly target: Server,
    private readonly callersPort: number,
    readonly gateway: GatewayProcess,
  ) {}

  /** Starts store, target and gateway; resolves once the gateway is ready. */
  static async start(): Promise<GatewayHarness> {
    const store = new PlatformStore();
    await store.start();
    let harness: GatewayHarness | undefined;
    const target = createServer((req, res) => harness?.holdRequest(req, res));
    await new Promise<void>((resolve) => {
      target.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(target.address() as AddressInfo).port}`;
    GatewayHarness.configure(store, address);
    const ports = await findPorts(LISTENERS.length);
    const listen = LISTENERS.map((name, i) => `${name} = 127.0.0.1:${ports[i]}`).join('\n');
    const text =
      `[process]\nvm = vm-1\nzone = quai\nregion = here\nfirst-start = true\n[listen]\n${listen}\n` +
      `[store]\naddress = ${store.address}\n[bounds]\nretry-slack = 60\ngrace = 4s\n`;
    const log = new EventLog('vm-1', {
      write: (lines, done) => {
        for (const line of lines.trim().split('\n')) harness?.logLines.push(JSON.parse(line));
        done();
      },
      now: () => performance.now(),
      wallNow: () => Date.now(),
    });
    const settings = parseGatewaySettings('gateway.ini', text);
    const gateway = new GatewayProcess({
      settings,
      clock: new SystemClock(),
      log,
      random: Math.random,
    });
    harness = new GatewayHarness(store, target, ports[0], gateway);
    await gateway.start();
    await waitUntil(() => gateway.isReady);
    return harness;
  }

  /** @internal */
  private static configure(store: PlatformStore, address: string): void {
    putConfiguration(store, {
      version: 1,
      // Requests must not time out, however long a test takes on a busy machine.
      routes: [{ ...ROUTE, objectiveMs: ALLOWED_MS, timeoutMs: ALLOWED_MS }],
      services: [
        { name: 'horaires', healthPath: '/health', maxConnections: 220, coldRequestsPerSecond: 2 },
      ],
      limits: LIMITS,
    });
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
  async connect(): Promise<CallerSocket> {
    const socket = connect(this.callersPort, '127.0.0.1');
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    return new CallerSocket(socket);
  }

  /** Lets the target answer a request. */
  release(id: string): void {
    this.heldAnswers
      .get(id)
      ?.writeHead(200, {
        'X-Masticlink-Request-Id': id,
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
    this.target.close();
    this.target.closeAllConnections();
    await this.store.stop();
  }

  /** @internal */
  private holdRequest(req: IncomingMessage, res: ServerResponse): void {
    const id = String(req.headers['x-masticlink-request-id']);
    res.setHeader('X-Masticlink-Server-Load', `${this.heldAnswers.size},0,${SLOTS},100`);
    res.setHeader('X-Masticlink-Instance-Id', TARGET);
    if (req.url === '/health') {
      res.end();
      return;
    }
    req.resume();
    this.startedIds.push(id);
    this.lastHeaders = req.headers;
    this.heldAnswers.set(id, res);
    res.once('close', () => {
      if (!res.writableFinished) this.abortedIds.push(id);
    });
  }
}
