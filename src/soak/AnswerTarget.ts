import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import * as headers from '../platform/headers.js';
import { AnswerCopies } from '../platform/standIn/AnswerCopies.js';
import { createRandom } from '../standIns/models/index.js';
import { resetSocket } from './resetSocket.js';

/** Shares of the answers of an `AnswerTarget`, from 0 to 1. */
export interface AnswerShares {
  /** Larger than what gateways buffer. */
  readonly large: number;
  /** Without a length, up to the close of the connection. */
  readonly unframed: number;
  /** Reset within the body, with its last bytes or some milliseconds later. */
  readonly reset: number;
  /** Sent a second time. */
  readonly copied: number;
  readonly rejected: number;
}

/** Properties of an `AnswerTarget`. */
export interface AnswerTargetOptions {
  readonly id: string;
  readonly slots: number;
  /** Time that a request takes, in milliseconds. */
  readonly workMs: number;
  readonly shares: AnswerShares;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Called when a request begins to run. */
  readonly onRun: (requestId: string) => void;
}

/** Maximum sizes of small and large bodies, in bytes. */
const SMALL_BYTES = 30_000;
const LARGE_BYTES = 600_000;

/** Repetitions in a line of a body; few long lines are faster to make and to compare. */
const WORDS_PER_LINE = 20;

/** Maximum time from the last bytes of an answer to the reset, in milliseconds. */
const MAX_RESET_DELAY_MS = 30;

/**
 * Body of the answer to a request, each line of which differs, so that a body that is cut or mixed
 * with another one shows.
 * @param requestId - Id of the request; its part behind the last dot is a number.
 * @param largeShare - Share of the requests with large bodies.
 */
export function makeAnswerBody(requestId: string, largeShare: number): string {
  const random = createRandom(Number(requestId.split('.').at(-1)));
  const bytes = (random() < largeShare ? LARGE_BYTES : SMALL_BYTES) * (0.5 + random() / 2);
  const lineCount = bytes / (requestId.length * WORDS_PER_LINE);
  const lines = Array.from({ length: lineCount }, (_, i) =>
    `${requestId} ${i} `.repeat(WORDS_PER_LINE),
  );
  return lines.join('\n').slice(0, bytes);
}

/** Target whose answers have different framings and sizes, and are broken off by resets. */
export class AnswerTarget {
  /** Answers that were broken off. */
  resets = 0;

  /** @internal */
  private running = 0;

  /** @internal */
  private readonly copies: AnswerCopies;

  /** @internal */
  private readonly server = createServer((req, res) => {
    req.resume();
    req.once('end', () => this.handle(res));
  });

  /** @param options - Properties of the target. */
  constructor(private readonly options: AnswerTargetOptions) {
    this.copies = new AnswerCopies(options.random, () => {});
    this.copies.share = options.shares.copied;
  }

  /** Listens on loopback; returns the IP address and port. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @internal */
  private handle(res: ServerResponse): void {
    const { id, slots, shares, random, workMs, onRun } = this.options;
    const { [headers.REQUEST_ID_HEADER]: requestId } = res.req.headers;
    this.copies.expectAnswer(res);
    res.setHeader(headers.TARGET_ID_HEADER, id);
    res.setHeader(headers.LOAD_HEADER, `${this.running},0,${slots},100`);
    if (typeof requestId !== 'string') {
      res.writeHead(200, { [headers.COLD_HEADER]: '0', 'Content-Length': 0 }).end();
      return;
    }
    res.setHeader(headers.REQUEST_ID_HEADER, requestId);
    if (random() < shares.rejected) {
      res.setHeader(headers.NOT_EXECUTED_HEADER, '1');
      res.writeHead(503, { 'Content-Length': 0 }).end();
      this.copies.afterAnswer(res, '');
      return;
    }
    onRun(requestId);
    this.running += 1;
    const timer = setTimeout(() => this.answer(requestId, res), workMs * (0.5 + random() / 2));
    res.once('close', () => {
      clearTimeout(timer);
      this.running -= 1;
    });
  }

  /** @internal */
  private answer(requestId: string, res: ServerResponse): void {
    const { shares, random } = this.options;
    const { socket } = res;
    const body = makeAnswerBody(requestId, shares.large);
    res.setHeader(headers.RESPONSE_SIGNATURE_HEADER, `s.${requestId}`);
    const isUnframed = random() < shares.unframed;
    if (isUnframed) res.useChunkedEncodingByDefault = false;
    else if (random() < 0.5) res.setHeader('Content-Length', body.length);
    if (random() >= shares.reset || socket === null) {
      res.end(body);
      if (!isUnframed) this.copies.afterAnswer(res, body);
      return;
    }
    this.resets += 1;
    res.write(body.slice(0, random() * body.length));
    if (random() < 0.5) resetSocket(socket);
    else setTimeout(() => resetSocket(socket), random() * MAX_RESET_DELAY_MS);
  }
}
