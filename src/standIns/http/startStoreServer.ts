import type { IncomingMessage, ServerResponse } from 'node:http';

import type { StoreOp, StoreResult } from '../../core/index.js';
import type { Clock } from '../../timing/index.js';
import { SystemClock } from '../../timing/index.js';
import type { StoreModelOptions, StoreReply } from '../models/index.js';
import { StoreModel } from '../models/index.js';
import type { StandInListenOptions } from './StandInServer.js';
import { readBody, StandInServer } from './StandInServer.js';

/** Options of the store stand-in. */
export interface StoreServerOptions extends StandInListenOptions {
  readonly clock?: Clock;
  readonly model?: Partial<StoreModelOptions>;
}

/** Handle of a running store stand-in. */
export interface StoreServer {
  /** IP address and port. */
  readonly address: string;
  /** Objects, call counts and faults of the store; tests modify the faults in place. */
  readonly model: StoreModel;
  /** Closes all connections and refuses new ones for `forMs` milliseconds. */
  refuse(forMs: number): void;
  /** Closes all connections and stops listening. */
  stop(): Promise<void>;
}

/** Body of `POST /control`: the faults to set; `null` clears one, an absent field keeps it. */
interface StoreControl {
  readonly down?: 'refusing' | 'hanging' | null;
  readonly extraMs?: number;
  /** Prefix of the keys whose `PUT` takes effect but gets no response. */
  readonly losesAnswersOf?: string | null;
}

const OBJECTS = '/objects';

type ResponseFormatter = (result: never) => { status: number; body?: unknown; headers?: object };

const RESPONSE_FORMATTERS: Record<StoreResult['kind'], ResponseFormatter> = {
  found: ({ entry }: Extract<StoreResult, { kind: 'found' }>) => ({ status: 200, body: entry }),
  listed: ({ entries }: Extract<StoreResult, { kind: 'listed' }>) => ({
    status: 200,
    body: { entries },
  }),
  missing: () => ({ status: 404, body: {} }),
  unchanged: () => ({ status: 304 }),
  written: ({ version }: Extract<StoreResult, { kind: 'written' }>) => ({
    status: 200,
    body: { version },
  }),
  conflict: ({ version }: Extract<StoreResult, { kind: 'conflict' }>) => ({
    status: 412,
    body: { version },
  }),
  throttled: ({ retryAfterMs }: Extract<StoreResult, { kind: 'throttled' }>) => ({
    status: 429,
    body: {},
    headers: { 'retry-after-ms': String(retryAfterMs) },
  }),
  unavailable: () => ({ status: 503, body: {} }),
  unknown: () => ({ status: 500, body: {} }),
};

function parseReadOp(url: URL, key: string): StoreOp {
  if (url.pathname === OBJECTS) return { op: 'list', prefix: url.searchParams.get('prefix') ?? '' };
  const after = url.searchParams.get('after');
  if (after === null) return { op: 'get', key };
  const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
  return { op: 'watch', key, after: Number(after), waitMs };
}

async function parseOp(req: IncomingMessage): Promise<StoreOp | undefined> {
  const url = new URL(req.url ?? '/', 'http://store');
  if (!url.pathname.startsWith(OBJECTS)) return undefined;
  const key = decodeURIComponent(url.pathname.slice(OBJECTS.length + 1));
  if (req.method === 'GET') return parseReadOp(url, key);
  const expect = Number(req.headers['if-match']);
  if (!Number.isSafeInteger(expect)) return undefined;
  if (req.method === 'DELETE') return { op: 'delete', key, expect };
  if (req.method !== 'PUT') return undefined;
  const value: unknown = JSON.parse((await readBody(req)).toString('utf8'));
  return { op: 'put', key, value, expect };
}

function sendReply(res: ServerResponse, reply: StoreReply): void {
  if (reply === 'lost') {
    res.socket?.destroy();
    return;
  }
  const { status, body, headers } = RESPONSE_FORMATTERS[reply.kind](reply as never);
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(body === undefined ? undefined : JSON.stringify(body));
}

function applyControl(model: StoreModel, control: StoreControl): void {
  const { faults } = model;
  if (control.down === null) delete faults.down;
  else if (control.down !== undefined) faults.down = control.down;
  if (control.extraMs !== undefined) faults.extraMs = control.extraMs;
  const prefix = control.losesAnswersOf;
  if (prefix === null) delete faults.losesAnswer;
  else if (prefix !== undefined) {
    faults.losesAnswer = (op) => op.op === 'put' && op.key.startsWith(prefix);
  }
}

/**
 * Whether connections are to be refused. An HTTP handler can't refuse a connection that is already
 * accepted, so the caller closes it without reading the request.
 */
function isRefusing(model: StoreModel): boolean {
  return model.faults.down === 'refusing';
}

async function handleRequest(
  model: StoreModel,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  if (req.method === 'POST' && req.url === '/control') {
    applyControl(model, JSON.parse((await readBody(req)).toString('utf8')) as StoreControl);
    res.writeHead(204).end();
    return;
  }
  if (isRefusing(model)) {
    res.socket?.destroy();
    return;
  }
  const op = await parseOp(req);
  if (op === undefined) {
    res.writeHead(400).end();
    return;
  }
  // A hanging store keeps the connection open and never responds.
  if (model.faults.down === 'hanging') return;
  model.call(op, (reply) => sendReply(res, reply));
}

/**
 * Starts a stand-in for the platform's object store. It serves `GET /objects/KEY`, `PUT` and
 * `DELETE /objects/KEY` with `If-Match`, `GET /objects?prefix=` to list objects and
 * `GET /objects/KEY?after=&waitMs=` to watch one; `POST /control` sets faults.
 * @param options - Listening address, clock, rate limits and answer time.
 * @example
 * const store = await startStoreServer({ port: 7000 });
 */
export async function startStoreServer(options: StoreServerOptions = {}): Promise<StoreServer> {
  const model = new StoreModel(options.clock ?? new SystemClock(), options.model);
  const server = await StandInServer.start(options, (req, res) => {
    handleRequest(model, req, res).catch(() => res.writeHead(400).end());
  });
  return {
    address: server.address,
    model,
    refuse: (forMs) => server.refuse(forMs),
    stop: () => server.stop(),
  };
}
