import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { BalancerEvent, CallerLimits, ForwardTerms } from '../balancing/index.js';
import type { ArrivalHead } from '../balancing/keyChecks.js';
import { cleanHeaders } from '../entry/exchange/headers.js';
import { RequestBody } from '../entry/exchange/RequestBody.js';
import { readCallerHead, readKeyDigest } from '../platform/index.js';
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
  /** Whether a request has to be refused for its API key, by the configuration of this moment. */
  isKeyUnknown(head: ArrivalHead): boolean;
  /** Whether the configuration of this moment has organisations. */
  hasOrganisations(): boolean;
}

/** Largest request body accepted while no configuration is known yet, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

/**
 * Largest body of a refused request that is read, so that its connection stays usable, in bytes. For
 * a larger one or one of unknown length, a new connection costs less.
 */
const MAX_DISCARDED_BODY_BYTES = 64 * 1024;

const PAYLOAD_TOO_LARGE = 413;
const BAD_REQUEST = 400;

function hasBody(req: IncomingMessage): boolean {
  if (req.headers['transfer-encoding'] !== undefined) return true;
  return req.headers['content-length'] !== undefined;
}

/** Whether the connection of a request can be used again once the rest of its body is discarded. */
function hasSmallRest(req: IncomingMessage, isAwaitingContinue: boolean): boolean {
  if (req.complete || !hasBody(req)) return true;
  // Without `100 Continue`, the caller may or may not send the body.
  if (isAwaitingContinue) return false;
  return Number(req.headers['content-length'] ?? Infinity) <= MAX_DISCARDED_BODY_BYTES;
}

/** Buffers callers' requests with their bodies, then dispatches them to the balancer. */
export class CallerRequestHandler {
  /** Connections that close with the answer to a refused request. @internal */
  private readonly closingSockets = new WeakSet<Socket>();

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
    // The caller sends a request after the closing answer again, so that it must not run here.
    if (this.closingSockets.has(req.socket)) return;
    const arrivedAt = this.parts.clock.now() - queuedMs;
    const { host = '' } = req.headers;
    const keyDigest = readKeyDigest(req.rawHeaders);
    if (this.parts.isKeyUnknown({ host, path: req.url ?? '/', keyDigest })) {
      this.refuseKey(req, res, isAwaitingContinue, arrivedAt);
      return;
    }
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
   * Refuses a request without reading its body. The balancer knows the same configuration as the
   * check before, so that it refuses the request and logs this.
   * @internal
   */
  private refuseKey(
    req: IncomingMessage,
    res: ServerResponse,
    isAwaitingContinue: boolean,
    arrivedAt: number,
  ): void {
    if (!hasSmallRest(req, isAwaitingContinue)) {
      res.shouldKeepAlive = false;
      this.closingSockets.add(req.socket);
    }
    const terms = this.readTerms(req);
    const exchange = this.createExchange(req, res, undefined, terms !== undefined);
    this.dispatchArrival(req, res, exchange, arrivedAt, terms);
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
    const { hasOrganisations } = this.parts;
    return new CallerExchange(
      req,
      res,
      headers,
      body,
      callerRequestId,
      isForwarded,
      hasOrganisations,
    );
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
      keyDigest: readKeyDigest(req.rawHeaders),
    });
  }
}
