import { Agent, get, request } from 'node:http';

import {
  makeBody,
  readAddresses,
  SIGNATURE_HEADER,
  writeAddressesPath,
  writeCallerHeaders,
} from '../platform/standIn/index.js';
import { PipelinedCaller } from './PipelinedCaller.js';
import type { GatewayPorts } from './SoakGateway.js';

/** What a caller saw of one request. */
export interface CallerRecord {
  readonly id: string;
  readonly isIdempotent: boolean;
  readonly sentAt: number;
  /** Port of the gateway that it was sent to. */
  readonly port: number;
  endedAt?: number;
  /** 0 if the connection ended without an answer. */
  status?: number;
  /** Whether the answer is whole, signed and its own. */
  isSound?: boolean;
  /** Whether it was sent behind a request whose answer closed the connection. */
  isBehindClose?: boolean;
}

/** Time that callers allow, in milliseconds. */
const ALLOWED_MS = 3_000;

const OK = 200;

const HOST = 'soak.example';

/** Requests a second of all callers together. */
const PER_SECOND = 40;

/** Share of callers that send further requests before the first is answered, and how many. */
const PIPELINED_SHARE = 0.15;
const PIPELINED_MOST = 4;

/** How long a caller keeps the addresses it was told, in milliseconds. */
const KEPT_MS = 2_000;

/** Callers that ask for addresses, keep them, and keep their connections as long as they can. */
export class SoakCallers {
  readonly records: CallerRecord[] = [];

  /** @internal */
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 200 });

  /** @internal */
  private readonly pipelines = new Set<PipelinedCaller>();

  /** @internal */
  private ports: readonly number[] = [];

  /** @internal */
  private askedAt = 0;

  /** @internal */
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param gateways - Ports of all gateways.
   * @param random - Uniform in [0, 1).
   */
  constructor(
    private readonly gateways: readonly GatewayPorts[],
    private readonly random: () => number,
  ) {}

  /** Begins to send. */
  start(): void {
    this.timer = setInterval(() => this.tick(), 1_000 / PER_SECOND);
  }

  /** Sends no more; what is out goes on. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Ends all connections. */
  close(): void {
    for (const caller of this.pipelines) caller.destroy();
    this.agent.destroy();
  }

  /** Sends one request to a gateway and gives what came of it. */
  send(port: number, path: string, isIdempotent: boolean): Promise<CallerRecord> {
    const record = this.createRecord(port, isIdempotent);
    const { id } = record;
    return new Promise((resolve) => {
      const finish = (status: number, isSound: boolean): void => {
        if (record.endedAt !== undefined) return;
        Object.assign(record, { endedAt: Date.now(), status, isSound });
        resolve(record);
      };
      const req = request({
        host: '127.0.0.1',
        port,
        path,
        method: isIdempotent ? 'GET' : 'POST',
        agent: this.agent,
        headers: { Host: HOST, ...writeCallerHeaders(id, ALLOWED_MS) },
      });
      req.setTimeout(ALLOWED_MS, () => req.destroy());
      req.on('error', () => finish(0, false));
      req.on('response', (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', () => finish(0, false));
        res.on('end', () => {
          const isOwn = Buffer.concat(chunks).toString() === makeBody(id);
          const isSigned = res.headers[SIGNATURE_HEADER] === `s.${id}`;
          finish(res.statusCode ?? 0, isOwn && isSigned);
        });
      });
      req.end();
    });
  }

  /** Sends a few requests on one connection before the first of them is answered. */
  sendPipelined(port: number, path: string, count: number): void {
    const records = Array.from({ length: count }, () => this.createRecord(port, true));
    const caller = new PipelinedCaller(records, { port, host: HOST, path, allowedMs: ALLOWED_MS });
    this.pipelines.add(caller);
    caller.onEnd = () => this.pipelines.delete(caller);
  }

  /** @internal */
  private createRecord(port: number, isIdempotent: boolean): CallerRecord {
    const id = Math.floor(this.random() * 2 ** 48).toString(16);
    const record: CallerRecord = { id, isIdempotent, sentAt: Date.now(), port };
    this.records.push(record);
    return record;
  }

  /** @internal */
  private tick(): void {
    if (Date.now() - this.askedAt > KEPT_MS) this.ask();
    if (this.ports.length === 0) return;
    const port = this.ports[Math.floor(this.random() * this.ports.length)];
    if (this.random() < PIPELINED_SHARE) {
      this.sendPipelined(port, '/read/x', 2 + Math.floor(this.random() * (PIPELINED_MOST - 1)));
      return;
    }
    const isIdempotent = this.random() < 0.6;
    this.send(port, isIdempotent ? '/read/x' : '/book/x', isIdempotent);
  }

  /** @internal */
  private ask(): void {
    this.askedAt = Date.now();
    const { addresses } = this.gateways[Math.floor(this.random() * this.gateways.length)];
    const path = writeAddressesPath(HOST, 'z-1');
    const req = get({ host: '127.0.0.1', port: addresses, path, timeout: 500 }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('end', () => this.keep(res.statusCode, Buffer.concat(chunks).toString()));
    });
    req.on('timeout', () => req.destroy());
    // The next one is asked with the next request.
    req.on('error', () => {
      this.askedAt = 0;
    });
  }

  /** @internal */
  private keep(status: number | undefined, text: string): void {
    const addresses = status === OK ? readAddresses(text) : undefined;
    if (addresses === undefined) this.askedAt = 0;
    else this.ports = addresses.map((address) => Number(address.split(':')[1]));
  }
}
