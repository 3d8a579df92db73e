import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import type { RetryLimit } from './retryWindows.js';

/** Loopback ports of a gateway. */
export interface GatewayPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly addresses: number;
  readonly peers: number;
  readonly metrics: number;
}

/** Settings that a gateway is started with. */
export interface SoakGatewayOptions {
  readonly name: string;
  readonly zone: string;
  readonly ports: GatewayPorts;
  readonly storeAddress: string;
  /** IP address that its connections come from. */
  readonly source: string;
  /** Directory for its settings and log. */
  readonly dir: string;
  /** Limit on retries in its settings; `RETRY_LIMIT` by default. */
  readonly retryLimit?: RetryLimit;
  /** Program that it runs; that of this build by default. */
  readonly main?: string;
  /** Whether it can be cut off from other gateways. */
  readonly canBeCutOff?: boolean;
}

/** Time from SIGTERM to SIGKILL, in milliseconds. */
const GRACE_MS = 6_000;

/** Requests that a bad version may receive: this share of all requests plus a fixed number. */
export const TRIAL_SHARE = 0.1;
export const TRIAL_SLACK = 50;

/** Limit on the retries of a service, for all gateways together. */
export const RETRY_LIMIT: RetryLimit = { ratio: 0.2, slack: 60, windowMs: 10_000 };

const BIND_SOURCE = new URL('./bindSource.js', import.meta.url).pathname;
const CUT_PEERS = new URL('./cutPeers.js', import.meta.url).pathname;
const GATEWAY_MAIN = new URL('../gateway/main.js', import.meta.url).pathname;

/** How a process that was asked to stop has ended. */
export type StopResult =
  | 'byItself'
  /** An injected fault killed it in the meantime. */
  | 'byFault'
  /** It was killed after the grace period, or by a signal from outside this program. */
  | 'bySignal';

/** A gateway that runs as a child process. */
export class SoakGateway {
  /** Time until which an injected fault may affect the gateway, in Unix milliseconds. */
  disturbedUntil = 0;

  /** Periods in which it need not be in touch with the store or other gateways, in Unix ms. */
  readonly disturbances: { readonly from: number; readonly until: number }[] = [];

  /** Periods in which its process was stopped, paused, killed or starting, in Unix milliseconds. */
  readonly excused: { readonly from: number; readonly until: number }[] = [];

  /** @internal */
  private child: ChildProcess | undefined;

  /** @internal */
  private startCount = 0;

  /**
   * Processes that a fault has killed. Tracked per process because the next one may start before the
   * exit event of a killed one; a pending `stop()` would otherwise report an exceeded grace period.
   * @internal
   */
  private readonly killed = new WeakSet<ChildProcess>();

  /** @param options - Settings that it is started with. */
  constructor(readonly options: SoakGatewayOptions) {
    mkdirSync(options.dir, { recursive: true });
    this.writeSettings(options.storeAddress);
  }

  /** Whether its process is running. */
  get isRunning(): boolean {
    const { child } = this;
    if (child === undefined || this.killed.has(child)) return false;
    return child.exitCode === null && child.signalCode === null;
  }

  /**
   * Starts the process unless it is running: faults overlap, and each one restarts the process that it
   * ended.
   */
  start(): void {
    if (this.isRunning) return;
    this.startCount += 1;
    const { dir, source, main = GATEWAY_MAIN, canBeCutOff = false } = this.options;
    const log = createWriteStream(join(dir, `gateway.log`), { flags: 'a' });
    const env = {
      PATH: process.env.PATH,
      MASTICLINK_CONFIG: join(dir, 'gateway.ini'),
      MASTICLINK_SOAK_SOURCE: source,
      MASTICLINK_SOAK_CUT: this.cutFile,
    };
    const imports = canBeCutOff ? [BIND_SOURCE, CUT_PEERS] : [BIND_SOURCE];
    const args = [...imports.flatMap((each) => ['--import', each]), main];
    this.child = spawn(process.execPath, args, {
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout?.pipe(log);
    this.child.stderr?.pipe(log, { end: false });
  }

  /** File that lists the peer ports of gateways that it cannot reach. @internal */
  private get cutFile(): string {
    return join(this.options.dir, 'cut.json');
  }

  /**
   * Cuts it off from other gateways in its direction; needs `canBeCutOff`.
   * @param peers - Gateways that it cannot reach from now on.
   */
  cutOffFrom(peers: readonly SoakGateway[]): void {
    const ports = peers.map(({ options }) => options.ports.peers);
    writeFileSync(this.cutFile, JSON.stringify(ports));
  }

  /** Sends a signal to the process that this object started. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Stops the process by SIGTERM, or by SIGKILL after the grace period, and waits for its exit. */
  async stop(): Promise<StopResult> {
    const { child } = this;
    if (child === undefined || !this.isRunning) return 'byItself';
    const ended = new Promise<boolean>((resolve) => {
      child.once('exit', (_code, signal) => resolve(signal === null));
    });
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
    const isOwn = await ended;
    clearTimeout(timer);
    if (isOwn) return 'byItself';
    return this.killed.has(child) ? 'byFault' : 'bySignal';
  }

  /** Kills the process as an injected fault. */
  kill(): void {
    if (this.child === undefined) return;
    this.killed.add(this.child);
    this.child.kill('SIGKILL');
  }

  /** Writes its settings file with the given store address. */
  writeSettings(storeAddress: string): void {
    const { name, zone, ports, dir, retryLimit = RETRY_LIMIT } = this.options;
    const lines = [
      '[process]',
      `vm = ${name}`,
      `zone = ${zone}`,
      'region = here',
      `first-start = ${this.startCount === 0}`,
      '[listen]',
      ...Object.entries(ports).map(([what, port]) => `${what} = 127.0.0.1:${port}`),
      '[store]',
      `address = ${storeAddress}`,
      '[bounds]',
      `retry-ratio = ${retryLimit.ratio}`,
      `retry-window = ${retryLimit.windowMs}ms`,
      `retry-slack = ${retryLimit.slack}`,
      `grace = ${GRACE_MS}ms`,
      `trial-share = ${TRIAL_SHARE}`,
      `trial-slack = ${TRIAL_SLACK}`,
    ];
    writeFileSync(join(dir, 'gateway.ini'), `${lines.join('\n')}\n`);
  }
}
