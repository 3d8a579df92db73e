import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { BalancerEvent, CallerLimits, ForwardTerms, LogEffect } from '../balancing/index.js';
import type { ArrivalHead } from '../balancing/keyChecks.js';
import { cleanHeaders } from '../entry/exchange/headers.js';
import { readCallerHead, readKeyDigest } from '../platform/index.js';
import type { Clock, TimerService } from '../timing/index.js';
import type { ActiveRequests } from './ActiveRequests.js';
import type { BodyMemory } from './BodyMemory.js';
import type { BodyOutcome } from './CallerBody.js';
import { CallerBody } from './CallerBody.js';
import { CallerExchange } from './CallerExchange.js';
import { createFingerprint } from './createFingerprint.js';
import { readForwardTerms } from './forwardHeaders.js';

/** Dependencies of `CallerRequestHandler`. */
export interface CallerRequestHandlerParts {
  readonly clock: Clock;
  readonly activeRequests: ActiveRequests;
  readonly dispatch: (event: BalancerEvent) => void;
  /** Memory for bodies. */
  readonly memory: BodyMemory;
  readonly random: () => number;
  log(effect: LogEffect): void;
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

/** Interval at which bodies that are late are looked for, in milliseconds. */
const LATE_CHECK_MS = 500;

/** Longest time in which a body must arrive, in milliseconds, also if its caller allows more. */
const MAX_BODY_MS = 60_000;

/**
 * Range of the time after which a caller should retry if there was no memory for its request, as a
 * multiple of the time until there probably is. It is spread so that callers refused together do
 * not return together.
 */
const MIN_RETRY_SHARE = 1;
const MAX_RETRY_SHARE = 2;

const BAD_REQUEST = 400;

/** Answers to requests whose body was not read to its end. */
const BODY_ANSWERS: Readonly<
  Record<Exclude<BodyOutcome, 'complete'>, { readonly status: number; readonly reason: string }>
> = {
  tooLarge: { status: 413, reason: 'body too large' },
  late: { status: 408, reason: 'body late' },
  noMemory: { status: 503, reason: 'noMemory' },
};

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

/** Reads callers' requests with their bodies, then dispatches them to the balancer. */
export class CallerRequestHandler {
  /** Connections that close with the answer to a refused request. @internal */
  private readonly closingSockets = new WeakSet<Socket>();

  /** Bodies that are not read to their end. @internal */
  private readonly openBodies = new Set<CallerBody>();

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
    if (!hasBody(req)) {
      if (isAwaitingContinue) res.writeContinue();
      this.accept(req, res, arrivedAt, undefined);
      return;
    }
    const { clock, memory, getCallerLimits } = this.parts;
    const { allowedMs = MAX_BODY_MS } = readCallerHead(req.headers);
    const body = new CallerBody(req, {
      clock,
      memory,
      maxBytes: getCallerLimits()?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      dueAt: arrivedAt + Math.min(allowedMs, MAX_BODY_MS),
      onReading: () => isAwaitingContinue && res.writeContinue(),
      onEnd: (outcome) => {
        if (outcome === 'complete') this.accept(req, res, arrivedAt, body);
        else this.refuseBody(req, res, outcome, arrivedAt);
      },
    });
    this.openBodies.add(body);
    const giveUp = (): void => {
      body.abandon();
      this.openBodies.delete(body);
    };
    req.once('close', giveUp);
    // A caller that ends its side in the middle of the body is answered before it is gone.
    res.once('finish', giveUp);
    body.read();
  }

  /** Starts to look for bodies that have not arrived in time. */
  start(timers: TimerService): void {
    timers.subscribe(LATE_CHECK_MS, () => {
      for (const body of this.openBodies) body.checkTime();
    });
  }

  /** @internal */
  private accept(
    req: IncomingMessage,
    res: ServerResponse,
    arrivedAt: number,
    body: CallerBody | undefined,
  ): void {
    if (body !== undefined) res.once('close', () => body.release());
    const terms = this.readTerms(req);
    const exchange = this.createExchange(req, res, body?.bytes, terms !== undefined);
    if ((req.url ?? '').startsWith('/')) this.dispatchArrival(req, res, exchange, arrivedAt, terms);
    else exchange.answer(BAD_REQUEST, 'no path');
  }

  /** Refuses a request whose body was not read to its end. @internal */
  private refuseBody(
    req: IncomingMessage,
    res: ServerResponse,
    outcome: Exclude<BodyOutcome, 'complete'>,
    arrivedAt: number,
  ): void {
    const { clock, memory, random, log } = this.parts;
    const { status, reason } = BODY_ANSWERS[outcome];
    const share = MIN_RETRY_SHARE + (MAX_RETRY_SHARE - MIN_RETRY_SHARE) * random();
    const waitMs = memory.estimateWaitMs(Number(req.headers['content-length'] ?? 0));
    const retryAfterMs = outcome === 'noMemory' ? Math.round(waitMs * share) : undefined;
    const exchange = this.createExchange(req, res, undefined, this.readTerms(req) !== undefined);
    exchange.answer(status, reason, retryAfterMs);
    log({
      kind: 'log',
      event: 'request.refused',
      fields: {
        id: exchange.callerRequestId,
        status,
        reason: outcome,
        host: req.headers.host,
        path: req.url,
        tookMs: Math.round(clock.now() - arrivedAt),
        bodyBytes: req.headers['content-length'],
        reservedBytes: memory.reservedBytes,
        limitBytes: memory.limitBytes,
        retryAfterMs,
      },
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
