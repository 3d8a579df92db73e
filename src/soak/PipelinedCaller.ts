import type { Socket } from 'node:net';
import { connect } from 'node:net';

import { makeBody, SIGNATURE_HEADER, writeCallerHeaders } from '../platform/standIn/index.js';
import type { CallerRecord } from './SoakCallers.js';

/** How requests are sent one behind the other. */
export interface PipelineOptions {
  readonly port: number;
  readonly host: string;
  readonly path: string;
  /** Time that the caller allows, in milliseconds. */
  readonly allowedMs: number;
}

/** One answer as it came. */
interface Answer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Takes the first whole answer off a text; gateways always tell the length of short bodies. */
function takeAnswer(text: string): { answer: Answer; rest: string } | undefined {
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

/** Sends requests on one connection before the first of them is answered, and reads the answers. */
export class PipelinedCaller {
  /** Told once the connection has ended. */
  onEnd: () => void = () => {};

  /** @internal */
  private readonly socket: Socket;

  /** @internal */
  private text = '';

  /** Requests without an answer, in their order. @internal */
  private readonly owed: CallerRecord[];

  /**
   * @param records - The requests; what came of them is noted there.
   * @param options - How they are sent.
   */
  constructor(
    records: readonly CallerRecord[],
    private readonly options: PipelineOptions,
  ) {
    this.owed = [...records];
    const { port, allowedMs } = options;
    this.socket = connect(port, '127.0.0.1');
    this.socket.setEncoding('latin1');
    this.socket.setTimeout(allowedMs, () => this.socket.destroy());
    // The end of the connection tells the same.
    this.socket.on('error', () => {});
    this.socket.on('data', (data: string) => this.read(data));
    this.socket.once('close', () => {
      this.giveUp(false);
      this.onEnd();
    });
    this.socket.write(records.map(({ id }) => this.writeHead(id)).join(''));
  }

  /** Ends the connection at once. */
  destroy(): void {
    this.socket.destroy();
  }

  /** @internal */
  private writeHead(id: string): string {
    const { host, path, allowedMs } = this.options;
    const headers = Object.entries({ Host: host, ...writeCallerHeaders(id, allowedMs) });
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
    return `GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
  }

  /** @internal */
  private read(data: string): void {
    this.text += data;
    for (let next = takeAnswer(this.text); next !== undefined; next = takeAnswer(this.text)) {
      const { answer, rest } = next;
      this.text = rest;
      const record = this.owed.shift();
      if (record === undefined) break;
      const { status } = answer;
      Object.assign(record, { endedAt: Date.now(), status, isSound: isSound(answer, record.id) });
      if (answer.headers.get('connection')?.toLowerCase() === 'close') this.giveUp(true);
    }
    if (this.owed.length === 0) this.socket.end();
  }

  /** Notes the requests that got no answer. @internal */
  private giveUp(isBehindClose: boolean): void {
    for (const record of this.owed.splice(0)) {
      Object.assign(record, { endedAt: Date.now(), status: 0, isSound: false, isBehindClose });
    }
  }
}
