import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import {
  COLD_MS,
  EXPECTED_TARGET,
  LIMIT,
  LOAD,
  NOT_EXECUTED,
  REQUEST_ID,
  SIGNATURE,
  TARGET_ID,
} from '../headers.js';

/** How a target behaves. */
export type TargetMood = 'sound' | 'slow' | 'slowWhenFull' | 'fails' | 'hangs' | 'cuts' | 'sheds';

/** How a target is made. */
export interface PlatformTargetOptions {
  readonly id: string;
  readonly slots: number;
  /** Time that a request takes, in milliseconds. */
  readonly workMs: number;
  /** Told as a request begins to run. */
  readonly onRun: (requestId: string) => void;
}

/** Work of a slow target takes so many times as long. */
const SLOW_FACTOR = 5;

/** Part of its answers that a failing target fails, by count: each second one. */
const FAILS_EACH = 2;

/** Requests that wait for a slot before the target rejects more. */
const QUEUE = 4;

/**
 * What a target answers to a request; a caller checks by it that the answer is its own and whole.
 * @param requestId - Id of the request.
 */
export function makeBody(requestId: string): string {
  return `${requestId} `.repeat(40);
}

/** A target of the platform as a stand-in: slots, load reports, rejections, faults at will. */
export class PlatformTarget {
  mood: TargetMood = 'sound';

  /** What it names as its limit; undefined if it names none. */
  limit: string | undefined;

  /** @internal */
  private running = 0;

  /** @internal */
  private runs = 0;

  /** @internal */
  private readonly waiting: (() => void)[] = [];

  /** @internal */
  private readonly server: Server;

  /** @param options - How it is made. */
  constructor(private readonly options: PlatformTargetOptions) {
    this.server = createServer((req, res) => {
      req.resume();
      this.handle(req, res);
    });
  }

  /** Listens on a free port of loopback; gives IP number and port. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Ends it at once, as a crash does. */
  crash(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @internal */
  private handle(req: IncomingMessage, res: ServerResponse): void {
    const { id, slots } = this.options;
    res.setHeader(LOAD, `${this.running},${this.waiting.length},${slots},100`);
    res.setHeader(TARGET_ID, id);
    if (req.url === '/health') {
      res.setHeader(COLD_MS, '0');
      res.writeHead(200).end();
      return;
    }
    if (this.limit !== undefined) res.setHeader(LIMIT, this.limit);
    const requestId = String(req.headers[REQUEST_ID]);
    const expected = req.headers[EXPECTED_TARGET];
    if (expected !== undefined && expected !== id) res.writeHead(421).end();
    else if (this.mood === 'sheds' || this.waiting.length >= QUEUE) {
      res.writeHead(503, { [NOT_EXECUTED]: '1' }).end();
    } else if (this.running < slots) this.run(requestId, res);
    else this.waiting.push(() => this.run(requestId, res));
  }

  /** @internal */
  private run(requestId: string, res: ServerResponse): void {
    if (res.destroyed) {
      this.waiting.shift()?.();
      return;
    }
    const { workMs, onRun } = this.options;
    this.running += 1;
    this.runs += 1;
    onRun(requestId);
    const { mood, isSlow } = this;
    const timer = setTimeout(
      () => this.finish(requestId, res, mood),
      workMs * (isSlow ? SLOW_FACTOR : 1),
    );
    res.once('close', () => {
      clearTimeout(timer);
      this.running -= 1;
      this.waiting.shift()?.();
    });
  }

  /** @internal */
  private get isSlow(): boolean {
    const isFull = this.running >= this.options.slots;
    return this.mood === 'slow' || (this.mood === 'slowWhenFull' && isFull);
  }

  /** @internal */
  private finish(requestId: string, res: ServerResponse, mood: TargetMood): void {
    if (mood === 'hangs') return;
    const body = makeBody(requestId);
    const hasFailed = mood === 'fails' && this.runs % FAILS_EACH === 0;
    res.writeHead(hasFailed ? 500 : 200, {
      [REQUEST_ID]: requestId,
      [SIGNATURE]: `s.${requestId}`,
      'Content-Length': body.length,
    });
    if (mood !== 'cuts') {
      res.end(body);
      return;
    }
    res.write(body.slice(0, body.length / 2));
    setImmediate(() => res.destroy());
  }
}
