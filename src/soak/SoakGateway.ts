import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Ports of one gateway on loopback. */
export interface GatewayPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly addresses: number;
  readonly peers: number;
  readonly metrics: number;
}

/** How a gateway is started. */
export interface SoakGatewayOptions {
  readonly name: string;
  readonly zone: string;
  readonly ports: GatewayPorts;
  readonly storeAddress: string;
  /** Folder for its settings and log. */
  readonly dir: string;
}

/** Time from SIGTERM until a gateway is killed, in milliseconds. */
const GRACE_MS = 6_000;

/** What a version that turns out to be bad may get. */
export const TRIAL_SHARE = 0.1;
export const TRIAL_SLACK = 50;

const MAIN = new URL('../gateway/main.js', import.meta.url).pathname;

/** What ended a process that was asked to stop. */
export type StopEnd =
  | 'byItself'
  /** A fault that killed it meanwhile. */
  | 'byFault'
  /** The end of the grace period, or a signal that nobody here sent. */
  | 'bySignal';

/** One gateway as a process of its own. */
export class SoakGateway {
  /** Until when what it does may be put down to a fault; Unix milliseconds. */
  disturbedUntil = 0;

  /** Times at which its process was stopped, paused or killed, or has just started; Unix milliseconds. */
  readonly excused: { readonly from: number; readonly until: number }[] = [];

  /** @internal */
  private child: ChildProcess | undefined;

  /** @internal */
  private starts = 0;

  /**
   * Processes that a fault has killed. Kept by process: the next one may be started before the end of
   * a killed one is told, and a stop that waited for that end would be taken for one that took too long.
   * @internal
   */
  private readonly killed = new WeakSet<ChildProcess>();

  /** @param options - How it is started. */
  constructor(readonly options: SoakGatewayOptions) {
    mkdirSync(options.dir, { recursive: true });
    this.writeSettings(options.storeAddress);
  }

  /** Whether its process runs. */
  get isUp(): boolean {
    const { child } = this;
    if (child === undefined || this.killed.has(child)) return false;
    return child.exitCode === null && child.signalCode === null;
  }

  /** Starts the process, unless it runs: faults overlap, and each starts what it ended. */
  start(): void {
    if (this.isUp) return;
    this.starts += 1;
    const { dir } = this.options;
    const log = createWriteStream(join(dir, `gateway.log`), { flags: 'a' });
    const env = { PATH: process.env.PATH, MASTICLINK_CONFIG: join(dir, 'gateway.ini') };
    this.child = spawn(process.execPath, [MAIN], { env, stdio: ['ignore', 'pipe', 'pipe'] });
    this.child.stdout?.pipe(log);
    this.child.stderr?.pipe(log, { end: false });
  }

  /** Sends a signal to the process that was started here, and to no other. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Stops it as planned and waits for its end. */
  async stop(): Promise<StopEnd> {
    const { child } = this;
    if (child === undefined || !this.isUp) return 'byItself';
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

  /** Ends it at once, as a fault. */
  kill(): void {
    if (this.child === undefined) return;
    this.killed.add(this.child);
    this.child.kill('SIGKILL');
  }

  /** Writes its settings, with another address of the store. */
  writeSettings(storeAddress: string): void {
    const { name, zone, ports, dir } = this.options;
    const lines = [
      '[process]',
      `vm = ${name}`,
      `zone = ${zone}`,
      'region = here',
      `first-start = ${this.starts === 0}`,
      '[listen]',
      ...Object.entries(ports).map(([what, port]) => `${what} = 127.0.0.1:${port}`),
      '[store]',
      `address = ${storeAddress}`,
      '[bounds]',
      'retry-slack = 60',
      `grace = ${GRACE_MS}ms`,
      `trial-share = ${TRIAL_SHARE}`,
      `trial-slack = ${TRIAL_SLACK}`,
    ];
    writeFileSync(join(dir, 'gateway.ini'), `${lines.join('\n')}\n`);
  }
}
