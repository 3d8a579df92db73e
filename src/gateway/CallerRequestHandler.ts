import type { IncomingMessage, ServerResponse } from 'node:http';

import type { BalancerEvent, CallerLimits, ForwardTerms } from '../balancing/index.js';
import { cleanHeaders } from '../entry/exchange/headers.js';
import { RequestBody } from '../entry/exchange/RequestBody.js';
import { readCallerHead } from '../platform/index.js';
import type { Clock } from '../timing/index.js';
import type { ActiveRequests } from './ActiveRequests.js';
import { CallerExchange } from './CallerExchange.js';
import { createFingerprint } from './createFingerprint.js';
import { readForwardTerms } from './forwardHeaders.js';

/** Dependencies of `CallerRequestHandler`. */
export interface CallerRequestHandlerParts {
  readonly clock: Clock;
  readonly activeRequests: ActiveRequests;
  readonly dispatch: (event: BalancerEvent) => void;
  getCallerLimits(): CallerLimits | undefined;
  /** Whether an IP address is that of an entry VM. */
  isVmAddress(ip: string): boolean;
}

/** Largest request body accepted while no configuration is known yet, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

const PAYLOAD_TOO_LARGE = 413;
const BAD_REQUEST = 400;

function hasBody(req: IncomingMessage): boolean {
  if (req.headers['transfer-encoding'] !== undefined) return true;
  return req.headers['content-length'] !== undefined;
}

/** Buffers callers' requests with their bodies, then dispatches them to the balancer. */
export class CallerRequestHandler {
  /** @param parts - Clock, open requests, dispatch and limits. */
  constructor(private readonly parts: CallerRequestHandlerParts) {}

  /**
   * Handles one request.
   * @param req - The request.
   * @param res - Its response.
   * @param isAwaitingContinue - Whether the caller waits for `100 Continue` to send the body.
   * @param queuedMs - Time since the request's head was read, in milliseconds; it counts towards
   * the time that the caller allows.
   */
  handle(
    req: IncomingMessage,
    res: ServerResponse,
    isAwaitingContinue: boolean,
    queuedMs: number,
  ): void {
    const arrivedAt = this.parts.clock.now() - queuedMs;
    if (isAwaitingContinue) res.writeContinue();
    const bodyBytes = this.parts.getCallerLimits()?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = new RequestBody(hasBody(req) ? req : undefined, {
      bodyBytes,
      replayBytes: bodyBytes,
    });
    body.collect(true, (outcome) => {
      const wholeBody = hasBody(req) ? body.getWhole() : undefined;
      const terms = this.readTerms(req);
      const exchange = this.createExchange(req, res, wholeBody, terms !== undefined);
      if (outcome === 'tooLarge') exchange.answer(PAYLOAD_TOO_LARGE, 'body too large');
      else if (!(req.url ?? '').startsWith('/')) exchange.answer(BAD_REQUEST, 'no path');
      else this.dispatchArrival(req, res, exchange, arrivedAt, terms);
    });
  }

  /**
   * Returns the terms of a request that was passed on. Whoever sends them, it is not passed on again;
   * but only a VM may choose among the services of a route and say when the caller tried first.
   * @internal
   */
  private readTerms(req: IncomingMessage): ForwardTerms | undefined {
    const terms = readForwardTerms(req.headers);
    const isFromVm = this.parts.isVmAddress(req.socket.remoteAddress ?? '');
    return terms === undefined || isFromVm
      ? terms
      : { ...terms, sinceFirstMs: undefined, service: undefined };
  }

  /** @internal */
  private createExchange(
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer | undefined,
    isForwarded: boolean,
  ): CallerExchange {
    const { headers, via, forwardedFor } = cleanHeaders(req.rawHeaders);
    if (via !== undefined) headers.push('Via', via);
    if (forwardedFor !== undefined) headers.push('X-Forwarded-For', forwardedFor);
    const { callerRequestId } = readCallerHead(req.headers);
    return new CallerExchange(req, res, headers, body, callerRequestId, isForwarded);
  }

  /** @internal */
  private dispatchArrival(
    req: IncomingMessage,
    res: ServerResponse,
    exchange: CallerExchange,
    arrivedAt: number,
    forwarded: ForwardTerms | undefined,
  ): void {
    const { activeRequests, dispatch } = this.parts;
    const request = activeRequests.add(exchange);
    res.once('close', () => {
      if (exchange.isAnswered) return;
      activeRequests.remove(request);
      dispatch({ kind: 'callerLeft', request });
    });
    const { allowedMs } = readCallerHead(req.headers);
    const { method = 'GET', url: path = '/' } = req;
    const { host = '' } = req.headers;
    dispatch({
      kind: 'requestArrived',
      request,
      callerRequestId: exchange.callerRequestId,
      fingerprint: createFingerprint({ method, host, path, body: exchange.body }),
      host,
      path,
      allowedMs,
      arrivedAt,
      forwarded,
    });
  }
}
