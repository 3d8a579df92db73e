import type { IncomingHttpHeaders } from 'node:http';

import type { LoadReading, AdvertisedLimit } from '../balancing/index.js';
import {
  COLD_HEADER,
  DEADLINE_HEADER,
  EXPECTED_TARGET_HEADER,
  LIMIT_HEADER,
  LOAD_HEADER,
  NOT_EXECUTED_HEADER,
  REQUEST_ID_HEADER,
  RESPONSE_SIGNATURE_HEADER,
  TARGET_ID_HEADER,
} from './headers.js';
import { readLimit } from './readLimit.js';
import { readLoad } from './readLoad.js';

/** Contents of the headers of a caller's request. */
export interface CallerHead {
  /** Id that the caller chose; undefined if it sent none. */
  readonly callerRequestId: string | undefined;
  /** Time that the caller allows, in milliseconds; undefined if it sent none. */
  readonly allowedMs: number | undefined;
}

/**
 * Reads the headers of a caller's request.
 * @param headers - Headers of the request.
 */
export function readCallerHead(headers: IncomingHttpHeaders): CallerHead {
  const id = headers[REQUEST_ID_HEADER];
  const allowedMs = Number(headers[DEADLINE_HEADER]);
  return {
    callerRequestId: typeof id === 'string' ? id : undefined,
    allowedMs:
      headers[DEADLINE_HEADER] !== undefined && Number.isFinite(allowedMs) && allowedMs >= 0
        ? allowedMs
        : undefined,
  };
}

/** Headers that this entry VM sets itself on requests to a target, in place of the caller's. */
const OVERWRITTEN_HEADERS: ReadonlySet<string> = new Set([
  DEADLINE_HEADER,
  EXPECTED_TARGET_HEADER,
  'content-length',
]);

/**
 * Builds the headers of a request to a target, or to another entry VM.
 * @param headers - Names and values in turn, without headers that apply to a single connection.
 * @param target - Id of the only target that may run the request; undefined for an entry VM.
 * @param allowedMs - Time that the target has, in milliseconds.
 * @param bodyBytes - Length of the body; undefined if the request has none.
 */
export function writeTargetHeaders(
  headers: readonly string[],
  target: string | undefined,
  allowedMs: number,
  bodyBytes: number | undefined,
): string[] {
  const written: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (!OVERWRITTEN_HEADERS.has(headers[i].toLowerCase())) {
      written.push(headers[i], headers[i + 1]);
    }
  }
  written.push('X-Masticlink-Deadline-Ms', String(allowedMs));
  if (target !== undefined) written.push('X-Masticlink-Target-Instance', target);
  if (bodyBytes !== undefined) written.push('Content-Length', String(bodyBytes));
  return written;
}

/** Contents of the headers of a target's answer. */
export interface TargetHead {
  /** Id of the request that is answered. */
  readonly callerRequestId: string | undefined;
  /** Id of the target, if the answer gives it. */
  readonly target: string | undefined;
  /** Whether the answer carries the proof that a target made it. */
  readonly isSigned: boolean;
  /** Whether the target has not run the request and never will. */
  readonly hasNotRun: boolean;
  /** Whether the body has a content encoding and is therefore not as the target made it. */
  readonly isEncoded: boolean;
  readonly reading: LoadReading | undefined;
  /** Time that the target remains cold, in milliseconds. */
  readonly coldMs: number;
  /** Requests per second that the target accepts from all entry VMs together. */
  readonly limit: AdvertisedLimit;
}

function getSingleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Reads the headers of a target's answer to a request or a probe.
 * @param headers - Headers of the answer.
 * @param isHealthy - Whether the status says that the target is healthy.
 * @param now - Monotonic milliseconds.
 */
export function readTargetHead(
  headers: IncomingHttpHeaders,
  isHealthy: boolean,
  now: number,
): TargetHead {
  const coldMs = Number(headers[COLD_HEADER] ?? 0);
  return {
    callerRequestId: getSingleHeader(headers, REQUEST_ID_HEADER),
    target: getSingleHeader(headers, TARGET_ID_HEADER),
    isSigned: headers[RESPONSE_SIGNATURE_HEADER] !== undefined,
    hasNotRun: headers[NOT_EXECUTED_HEADER] !== undefined,
    isEncoded: headers['content-encoding'] !== undefined,
    reading: readLoad(getSingleHeader(headers, LOAD_HEADER), isHealthy, now),
    coldMs: Number.isFinite(coldMs) ? coldMs : 0,
    limit: readLimit(getSingleHeader(headers, LIMIT_HEADER)),
  };
}
