import type { IncomingMessage, ServerResponse } from 'node:http';

import type { BalancerEvent, CallerLimits } from '../balancing/index.js';
import { cleanHeaders } from '../entry/exchange/headers.js';
import { RequestBody } from '../entry/exchange/RequestBody.js';
import { readCallerHead } from '../platform/index.js';
import type { Clock } from '../timing/index.js';
import { CallerExchange } from './CallerExchange.js';
import type { Sendings } from './Sendings.js';

/** What the door works with. */
export interface CallerDoorParts {
  readonly clock: Clock;
  readonly sendings: Sendings;
  readonly dispatch: (event: BalancerEvent) => void;
  getLimits(): CallerLimits | undefined;
}

/** Largest body that is taken before a configuration is known, in bytes. */
const BODY_BYTES = 1024 * 1024;

const TOO_LARGE = 413;
const BAD_REQUEST = 400;

function hasBody(req: IncomingMessage): boolean {
  if (req.headers['transfer-encoding'] !== undefined) return true;
  return req.headers['content-length'] !== undefined;
}

/** Takes callers' requests in: reads each as a whole and hands it to the decisions. */
export class CallerDoor {
  /** @param parts - What the door works with. */
  constructor(private readonly parts: CallerDoorParts) {}

  /**
   * Takes one request.
   * @param req - The request.
   * @param res - Its answer.
   * @param awaitsContinue - Whether its body comes only when it is told to.
   * @param heldMs - How long ago it was read, in milliseconds.
   */
  accept(req: IncomingMessage, res: ServerResponse, awaitsContinue: boolean, heldMs: number): void {
    const arrivedAt = this.parts.clock.now() - heldMs;
    if (awaitsContinue) res.writeContinue();
    const bodyBytes = this.parts.getLimits()?.bodyBytes ?? BODY_BYTES;
    const body = new RequestBody(hasBody(req) ? req : undefined, {
      bodyBytes,
      replayBytes: bodyBytes,
    });
    body.collect(true, (outcome) => {
      const whole = hasBody(req) ? body.getWhole() : undefined;
      const exchange = this.open(req, res, whole);
      if (outcome === 'tooLarge') exchange.answer(TOO_LARGE, 'body too large');
      else if (!(req.url ?? '').startsWith('/')) exchange.answer(BAD_REQUEST, 'no path');
      else this.announce(req, res, exchange, arrivedAt);
    });
  }

  /** @internal */
  private open(
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer | undefined,
  ): CallerExchange {
    const { headers, via, forwardedFor } = cleanHeaders(req.rawHeaders);
    if (via !== undefined) headers.push('Via', via);
    if (forwardedFor !== undefined) headers.push('X-Forwarded-For', forwardedFor);
    const { callerRequestId } = readCallerHead(req.headers);
    return new CallerExchange(req, res, headers, body, callerRequestId);
  }

  /** @internal */
  private announce(
    req: IncomingMessage,
    res: ServerResponse,
    exchange: CallerExchange,
    arrivedAt: number,
  ): void {
    const { sendings, dispatch } = this.parts;
    const request = sendings.open(exchange);
    res.once('close', () => {
      if (exchange.isOver) return;
      sendings.close(request);
      dispatch({ kind: 'callerLeft', request });
    });
    const { allowedMs } = readCallerHead(req.headers);
    dispatch({
      kind: 'requestArrived',
      request,
      callerRequestId: exchange.callerRequestId,
      host: req.headers.host ?? '',
      path: req.url ?? '/',
      allowedMs,
      arrivedAt,
    });
  }
}
