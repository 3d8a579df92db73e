import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '../../timing/index.js';
import { SystemClock } from '../../timing/index.js';
import type {
  TargetFaults,
  TargetModelOptions,
  TargetReport,
  TargetRequest,
} from '../models/index.js';
import { TargetModel } from '../models/index.js';
import type { StandInListenOptions } from './StandInServer.js';
import { readBody, StandInServer } from './StandInServer.js';

/** Options of the target stand-in. */
export interface TargetServerOptions extends StandInListenOptions {
  readonly clock?: Clock;
  /** Random numbers uniform in [0, 1) for service times; `Math.random` by default. */
  readonly random?: () => number;
  readonly model?: Partial<TargetModelOptions>;
  /** Path of health probes. */
  readonly probePath?: string;
}

/** Handle of a running target stand-in. */
export interface TargetServer {
  /** IP address and port. */
  readonly address: string;
  /** Counters and faults of the target; tests modify the faults in place. */
  readonly model: TargetModel;
  /** Closes all connections and stops listening. */
  stop(): Promise<void>;
}

/** Body of `POST /control`: the faults to set, and whether to turn cold or crash now. */
type TargetControl = Partial<Omit<TargetFaults, 'crashesOn'>> & {
  readonly crashesOn?: readonly string[];
  readonly turnCold?: boolean;
  readonly crash?: boolean;
};

const DEFAULT_PROBE_PATH = '/health';

function getHeaderText(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function getHeaderNumber(req: IncomingMessage, name: string): number | undefined {
  const text = getHeaderText(req, name);
  return text === undefined ? undefined : Number(text);
}

/** Converts an HTTP request for the model; `x-service-ms` sets its service time. */
function parseRequest(
  req: IncomingMessage,
  probePath: string,
  newConnection: boolean,
): TargetRequest {
  const method = req.method ?? 'GET';
  const path = req.url ?? '/';
  return {
    uid: getHeaderText(req, 'x-request-id') ?? '',
    sender: getHeaderText(req, 'via') ?? '',
    fingerprint: `${method} ${path}`,
    key: getHeaderText(req, 'idempotency-key'),
    isProbe: path === probePath,
    newConnection,
    serviceMs: getHeaderNumber(req, 'x-service-ms'),
    remainingMs: getHeaderNumber(req, 'masticlink-deadline-ms'),
  };
}

/** Returns the request body, or if it is empty the target, request id and fingerprint as JSON. */
function getAnswerBody(model: TargetModel, request: TargetRequest, body: Buffer): Buffer {
  if (body.length > 0) return body;
  const { uid, fingerprint } = request;
  return Buffer.from(JSON.stringify({ target: model.options.id, uid, request: fingerprint }));
}

function writeHead(res: ServerResponse, status: number, report: TargetReport, bytes: number): void {
  res.writeHead(status, {
    'content-type': 'application/octet-stream',
    'content-length': bytes,
    'masticlink-load': report.load.toFixed(3),
    'masticlink-boot': report.bootId,
    ...(report.draining ? { 'masticlink-draining': 'true' } : {}),
  });
}

function applyControl(model: TargetModel, control: TargetControl): void {
  const { crashesOn, turnCold, crash, ...otherFaults } = control;
  Object.assign(model.faults, otherFaults);
  if (crashesOn !== undefined) {
    model.faults.crashesOn.clear();
    for (const fingerprint of crashesOn) model.faults.crashesOn.add(fingerprint);
  }
  if (turnCold === true) model.turnCold();
  if (crash === true) model.crash();
}

function serveRequest(
  model: TargetModel,
  request: TargetRequest,
  body: Buffer,
  res: ServerResponse,
): void {
  const answerBody = getAnswerBody(model, request, body);
  const cancel = model.acceptRequest(request, {
    answered: (status, report) => writeHead(res, status, report, answerBody.length),
    ended: (end) => {
      if (end === 'complete') res.end(answerBody);
      else if (end === 'cut') {
        const half = answerBody.subarray(0, Math.floor(answerBody.length / 2));
        res.write(half, () => res.socket?.destroy());
      } else res.socket?.destroy();
    },
  });
  res.on('close', () => {
    if (!res.writableFinished) cancel();
  });
}

/**
 * Starts a stand-in for a target. It simulates slots, cold start and the cost of new connections,
 * and reports its load in response headers; `POST /control` sets faults.
 * @param options - Listening address, clock, probe path and behaviour of the target.
 * @example
 * const target = await startTargetServer({ model: { id: 'horaires/t0', slots: 2 } });
 */
export async function startTargetServer(options: TargetServerOptions = {}): Promise<TargetServer> {
  const clock = options.clock ?? new SystemClock();
  const model = new TargetModel(clock, options.random ?? Math.random, options.model);
  const probePath = options.probePath ?? DEFAULT_PROBE_PATH;
  const knownSockets = new WeakSet<Socket>();
  const server = await StandInServer.start(options, (req, res) => {
    const isNewConnection = !knownSockets.has(req.socket);
    knownSockets.add(req.socket);
    if (model.isDown) {
      req.socket.destroy();
      return;
    }
    readBody(req)
      .then((body) => {
        if (req.method === 'POST' && req.url === '/control') {
          applyControl(model, JSON.parse(body.toString('utf8')) as TargetControl);
          res.writeHead(204).end();
        } else serveRequest(model, parseRequest(req, probePath, isNewConnection), body, res);
      })
      .catch(() => res.destroy());
  });
  return { address: server.address, model, stop: () => server.stop() };
}
