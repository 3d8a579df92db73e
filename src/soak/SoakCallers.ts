import { Agent, get, request } from 'node:http';

import {
  askForSize,
  makeBody,
  readAddresses,
  SIGNATURE_HEADER,
  writeAddressesPath,
  writeCallerHeaders,
  writeClaimedOrganisations,
} from '../platform/standIn/index.js';
import { sendOldRequest } from './OldCaller.js';
import { PipelinedCaller } from './PipelinedCaller.js';
import type { GatewayPorts } from './SoakGateway.js';
import type { SoakIdentity, SoakOrganisations } from './SoakOrganisations.js';

/** A request and its result, as the caller saw them. */
export interface CallerRecord {
  readonly id: string;
  readonly isIdempotent: boolean;
  readonly sentAt: number;
  /** Port of the gateway that received the request. */
  readonly port: number;
  /** Name of its route, if the sender names it. */
  readonly route?: string;
  /** API key that it carried; undefined if it carried none. */
  readonly apiKey?: string;
  /** Whether its route needs no API key. */
  readonly isExempt?: boolean;
  /** Whether it may be refused while no fault is active, for its key or its quota. */
  readonly mayBeRefused?: boolean;
  endedAt?: number;
  /** HTTP status; 0 if the connection closed without an answer. */
  status?: number;
  /** Whether the answer is complete, signed and belongs to this request. */
  isSound?: boolean;
  /** What was received in place of the whole body of its answer. */
  received?: string;
  /** Whether it was pipelined after a request whose answer closed the connection. */
  isBehindClose?: boolean;
}

/** Timeout that callers set for a request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 3_000;

const OK = 200;

const HOST = 'soak.example';

/** Total request rate of all callers, per second. */
const REQUESTS_PER_SECOND = 40;

/** Share of sends that are pipelined, and the maximum number of requests in each of them. */
const PIPELINED_SHARE = 0.15;
const MAX_PIPELINED = 4;

/** With a variety of answers: shares of the requests, and sizes of large answers in bytes. */
const LARGE_SHARE = 0.5;
const MIN_LARGE_BYTES = 300_000;
const MAX_LARGE_BYTES = 600_000;
const OLD_SHARE = 0.2;
const OPEN_CONNECTION_SHARE = 0.3;

/** Time for which callers cache gateway addresses, in milliseconds. */
const ADDRESS_TTL_MS = 2_000;

/** What callers do, beside what all do. */
export interface SoakCallersOptions {
  /** Organisations of the callers; undefined if they need no keys. */
  readonly organisations?: SoakOrganisations;
  /**
   * Whether some ask for large answers, use HTTP/1.0, or send on open connections until these are
   * closed, whatever addresses they are told.
   */
  readonly hasVariety?: boolean;
}

/** Describes a body that is not the whole one of its request; undefined if it is. */
function describeReceived(id: string, body: string, framing: string): string | undefined {
  const whole = makeBody(id);
  if (body === whole) return undefined;
  const isPart = whole.startsWith(body) ? '' : ', other bytes';
  return `${body.length} of ${whole.length} bytes${isPart}, ${framing}`;
}

function getMethod(isIdempotent: boolean, body: string | undefined): string {
  if (!isIdempotent) return 'POST';
  return body === undefined ? 'GET' : 'PUT';
}

/** Builds the headers of a request, as alternating names and values if some are repeated. */
function writeHeaders(
  id: string,
  timeoutMs: number,
  identity: SoakIdentity | undefined,
): Record<string, string> | string[] {
  const { apiKey, claims = [] } = identity ?? {};
  const headers = { Host: HOST, ...writeCallerHeaders(id, timeoutMs, apiKey) };
  if (claims.length === 0) return headers;
  return [...Object.entries(headers).flat(), ...writeClaimedOrganisations(claims)];
}

/** How a request is sent. */
export interface SendOptions {
  /** Whether it has a connection of its own, which is not kept. */
  readonly hasOwnConnection?: boolean;
  /** How long its caller waits for the answer, in milliseconds. */
  readonly timeoutMs?: number;
  /** Name of its route, for the record. */
  readonly route?: string;
  /** How its caller identifies itself; with a permanent key by default, if there are organisations. */
  readonly identity?: SoakIdentity;
  /** Size of the answer that it asks for, in bytes; undefined for a small one. */
  readonly answerBytes?: number;
}

/** Load generator whose callers cache gateway addresses and reuse their connections. */
export class SoakCallers {
  readonly records: CallerRecord[] = [];

  /** @internal */
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 200 });

  /** @internal */
  private readonly pipelines = new Set<PipelinedCaller>();

  /** @internal */
  private ports: readonly number[] = [];

  /** @internal */
  private addressesRequestedAt = 0;

  /** @internal */
  private timer: NodeJS.Timeout | undefined;

  /** @internal */
  private readonly organisations: SoakOrganisations | undefined;

  /** @internal */
  private readonly hasVariety: boolean;

  /**
   * @param gateways - Ports of all gateways.
   * @param random - Uniform in [0, 1).
   * @param options - What the callers do.
   */
  constructor(
    private readonly gateways: readonly GatewayPorts[],
    private readonly random: () => number,
    { organisations, hasVariety = false }: SoakCallersOptions = {},
  ) {
    this.organisations = organisations;
    this.hasVariety = hasVariety;
  }

  /** Starts sending requests. */
  start(): void {
    this.timer = setInterval(() => this.sendNext(), 1_000 / REQUESTS_PER_SECOND);
  }

  /** Stops sending new requests; open ones continue. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Closes all connections. */
  close(): void {
    for (const caller of this.pipelines) caller.destroy();
    this.agent.destroy();
  }

  /** Sends one request to a gateway and returns its record once it has ended. */
  send(
    port: number,
    path: string,
    isIdempotent: boolean,
    body?: string,
    options: SendOptions = {},
  ): Promise<CallerRecord> {
    const { hasOwnConnection = false, timeoutMs = REQUEST_TIMEOUT_MS, route } = options;
    const { identity = this.steadyIdentity } = options;
    const record = this.createRecord(port, isIdempotent, route, identity, options.answerBytes);
    const { id } = record;
    return new Promise((resolve) => {
      const finish = (status: number, isSound: boolean, received?: string): void => {
        if (record.endedAt !== undefined) return;
        Object.assign(record, { endedAt: Date.now(), status, isSound, received });
        resolve(record);
      };
      const req = request({
        host: '127.0.0.1',
        port,
        path,
        method: getMethod(isIdempotent, body),
        agent: hasOwnConnection ? false : this.agent,
        headers: writeHeaders(id, timeoutMs, identity),
      });
      req.setTimeout(timeoutMs, () => req.destroy());
      req.on('error', () => finish(0, false));
      req.on('response', (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', () => finish(0, false));
        res.on('end', () => {
          const framing = res.headers['content-length'] === undefined ? 'in chunks' : 'by length';
          const received = describeReceived(id, Buffer.concat(chunks).toString(), framing);
          const isSigned = res.headers[SIGNATURE_HEADER] === `s.${id}`;
          finish(res.statusCode ?? 0, received === undefined && isSigned, received);
        });
      });
      req.end(body);
    });
  }

  /** Sends several pipelined requests on one connection. */
  sendPipelined(port: number, path: string, count: number): void {
    const records = Array.from({ length: count }, () =>
      this.createRecord(port, true, undefined, this.steadyIdentity),
    );
    const caller = new PipelinedCaller(records, {
      port,
      host: HOST,
      path,
      allowedMs: REQUEST_TIMEOUT_MS,
      apiKey: this.steadyIdentity?.apiKey,
    });
    this.pipelines.add(caller);
    caller.onEnd = () => this.pipelines.delete(caller);
  }

  /** @internal */
  private get steadyIdentity(): SoakIdentity | undefined {
    if (this.organisations === undefined) return undefined;
    const { steadyKey: apiKey } = this.organisations;
    return { apiKey, claims: [], isExempt: false, mayBeRefused: false };
  }

  /** @internal */
  private createRecord(
    port: number,
    isIdempotent: boolean,
    route?: string,
    identity?: SoakIdentity,
    answerBytes?: number,
  ): CallerRecord {
    // The random part alone has 32 bits, and repeats among some thousand requests now and then.
    const plainId = `${Math.floor(this.random() * 2 ** 48).toString(16)}.${this.records.length}`;
    const id = answerBytes === undefined ? plainId : askForSize(plainId, answerBytes);
    const { apiKey, isExempt, mayBeRefused } = identity ?? {};
    const access = { apiKey, isExempt, mayBeRefused };
    const record: CallerRecord = { id, isIdempotent, sentAt: Date.now(), port, route, ...access };
    this.records.push(record);
    return record;
  }

  /** Sends a request of HTTP/1.0. @internal */
  private sendOld(port: number, answerBytes: number | undefined): void {
    const identity = this.steadyIdentity;
    const record = this.createRecord(port, true, undefined, identity, answerBytes);
    const { id } = record;
    const timeoutMs = REQUEST_TIMEOUT_MS;
    const headers = { Host: HOST, ...writeCallerHeaders(id, timeoutMs, identity?.apiKey) };
    sendOldRequest({ port, path: '/read/x', headers, timeoutMs })
      .then(({ status, headers: answered, body }) => {
        const received = describeReceived(id, body, 'to HTTP/1.0');
        const isSound = received === undefined && answered.get(SIGNATURE_HEADER) === `s.${id}`;
        Object.assign(record, { endedAt: Date.now(), status, isSound, received });
      })
      .catch(() => undefined);
  }

  /** Ports of gateways to which a connection is open and unused. @internal */
  private get openPorts(): readonly number[] {
    const { freeSockets } = this.agent;
    const all = this.gateways.map(({ callers }) => callers);
    return all.filter((port) => freeSockets[`127.0.0.1:${port}:`] !== undefined);
  }

  /** Picks the gateway of the next request; undefined if no address is known. @internal */
  private pickPort(): number | undefined {
    const isOnOpen = this.hasVariety && this.random() < OPEN_CONNECTION_SHARE;
    const open = isOnOpen ? this.openPorts : [];
    const ports = open.length > 0 ? open : this.ports;
    return ports[Math.floor(this.random() * ports.length)];
  }

  /** @internal */
  private drawAnswerBytes(): number | undefined {
    if (!this.hasVariety || this.random() >= LARGE_SHARE) return undefined;
    return MIN_LARGE_BYTES + Math.floor(this.random() * (MAX_LARGE_BYTES - MIN_LARGE_BYTES));
  }

  /** @internal */
  private sendNext(): void {
    if (Date.now() - this.addressesRequestedAt > ADDRESS_TTL_MS) this.requestAddresses();
    if (this.ports.length === 0) return;
    const port = this.pickPort();
    if (port === undefined) return;
    const answerBytes = this.drawAnswerBytes();
    if (this.hasVariety && this.random() < OLD_SHARE) {
      this.sendOld(port, answerBytes);
      return;
    }
    if (this.random() < PIPELINED_SHARE) {
      this.sendPipelined(port, '/read/x', 2 + Math.floor(this.random() * (MAX_PIPELINED - 1)));
      return;
    }
    const isIdempotent = this.random() < 0.6;
    const identity = this.organisations?.drawIdentity();
    if (identity?.isExempt === true) {
      this.send(port, '/open/x', true, undefined, { identity });
      return;
    }
    const path = isIdempotent ? '/read/x' : '/book/x';
    this.send(port, path, isIdempotent, undefined, { identity, answerBytes });
  }

  /** @internal */
  private requestAddresses(): void {
    this.addressesRequestedAt = Date.now();
    const { addresses } = this.gateways[Math.floor(this.random() * this.gateways.length)];
    const path = writeAddressesPath(HOST, 'z-1');
    const req = get({ host: '127.0.0.1', port: addresses, path, timeout: 500 }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('end', () => this.storeAddresses(res.statusCode, Buffer.concat(chunks).toString()));
    });
    req.on('timeout', () => req.destroy());
    // Forces another address request before the next request is sent.
    req.on('error', () => {
      this.addressesRequestedAt = 0;
    });
  }

  /** @internal */
  private storeAddresses(status: number | undefined, text: string): void {
    const addresses = status === OK ? readAddresses(text) : undefined;
    if (addresses === undefined) this.addressesRequestedAt = 0;
    else this.ports = addresses.map((address) => Number(address.split(':')[1]));
  }
}
