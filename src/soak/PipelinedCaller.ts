import type { Socket } from 'node:net';
import { connect } from 'node:net';

import { makeBody, SIGNATURE_HEADER, writeCallerHeaders } from '../platform/standIn/index.js';
import type { CallerRecord } from './SoakCallers.js';

/** Settings of a pipelined connection. */
export interface PipelineOptions {
  readonly port: number;
  readonly host: string;
  readonly path: string;
  /** Timeout that the caller sends with each request, in milliseconds. */
  readonly allowedMs: number;
  /** API key of the caller; undefined if it sends none. */
  readonly apiKey?: string;
}

/** A received answer. */
interface Answer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/**
 * Parses the first complete answer of a text; undefined if it is incomplete. Reads bodies by
 * `Content-Length`, which gateways always send with short bodies.
 */
function parseAnswer(text: string): { answer: Answer; rest: string } | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map((line): [string, string] => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const bodyAt = headEnd + 4;
  const endAt = bodyAt + Number(headers.get('content-length') ?? 0);
  if (text.length < endAt) return undefined;
  const status = Number(statusLine.split(' ')[1]);
  return { answer: { status, headers, body: text.slice(bodyAt, endAt) }, rest: text.slice(endAt) };
}

function isSound({ headers, body }: Answer, id: string): boolean {
  return body === makeBody(id) && headers.get(SIGNATURE_HEADER) === `s.${id}`;
}

/** Sends pipelined requests on one connection and reads their answers. */
export class PipelinedCaller {
  /** Called once the connection has closed. */
  onEnd: () => void = () => {};

  /** @internal */
  private readonly socket: Socket;

  /** @internal */
  private text = '';

  /** Unanswered requests in the order they were sent. @internal */
  private readonly unanswered: CallerRecord[];

  /**
   * @param records - The requests; their results are written to these records.
   * @param options - Address, path and timeout.
   */
  constructor(
    records: readonly CallerRecord[],
    private readonly options: PipelineOptions,
  ) {
    this.unanswered = [...records];
    const { port, allowedMs } = options;
    this.socket = connect(port, '127.0.0.1');
    this.socket.setEncoding('latin1');
    this.socket.setTimeout(allowedMs, () => this.socket.destroy());
    // An error is followed by `close`, which fails the unanswered requests.
    this.socket.on('error', () => {});
    this.socket.on('data', (data: string) => this.handleData(data));
    this.socket.once('close', () => {
      this.failUnanswered(false);
      this.onEnd();
    });
    this.socket.write(records.map(({ id }) => this.formatRequest(id)).join(''));
  }

  /** Closes the connection immediately. */
  destroy(): void {
    this.socket.destroy();
  }

  /** @internal */
  private formatRequest(id: string): string {
    const { host, path, allowedMs, apiKey } = this.options;
    const headers = Object.entries({ Host: host, ...writeCallerHeaders(id, allowedMs, apiKey) });
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
    return `GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
  }

  /** @internal */
  private handleData(data: string): void {
    this.text += data;
    for (let next = parseAnswer(this.text); next !== undefined; next = parseAnswer(this.text)) {
      const { answer, rest } = next;
      this.text = rest;
      const record = this.unanswered.shift();
      if (record === undefined) break;
      const { status } = answer;
      Object.assign(record, { endedAt: Date.now(), status, isSound: isSound(answer, record.id) });
      if (answer.headers.get('connection')?.toLowerCase() === 'close') this.failUnanswered(true);
    }
    if (this.unanswered.length === 0) this.socket.end();
  }

  /** Records all unanswered requests as failed. @internal */
  private failUnanswered(isBehindClose: boolean): void {
    for (const record of this.unanswered.splice(0)) {
      Object.assign(record, { endedAt: Date.now(), status: 0, isSound: false, isBehindClose });
    }
  }
}
