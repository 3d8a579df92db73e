import type { IncomingHttpHeaders } from 'node:http';

import type { LoadReading, NamedLimit } from '../balancing/index.js';
import {
  COLD_MS,
  DEADLINE_MS,
  EXPECTED_TARGET,
  LIMIT,
  LOAD,
  NOT_EXECUTED,
  REQUEST_ID,
  SIGNATURE,
  TARGET_ID,
} from './headers.js';
import { readLimit } from './readLimit.js';
import { readLoad } from './readLoad.js';

/** What a caller's request says of itself. */
export interface CallerHead {
  /** Id that the caller chose; undefined if it sent none. */
  readonly callerRequestId: string | undefined;
  /** Time that the caller allows, in milliseconds; undefined if it names none. */
  readonly allowedMs: number | undefined;
}

/**
 * Reads what a caller's request says of itself.
 * @param headers - Its headers.
 */
export function readCallerHead(headers: IncomingHttpHeaders): CallerHead {
  const id = headers[REQUEST_ID];
  const allowedMs = Number(headers[DEADLINE_MS]);
  return {
    callerRequestId: typeof id === 'string' ? id : undefined,
    allowedMs:
      headers[DEADLINE_MS] !== undefined && Number.isFinite(allowedMs) && allowedMs >= 0
        ? allowedMs
        : undefined,
  };
}

/** Headers that this entry VM sets itself on what it sends to a target. */
const OWN_TOWARDS_TARGET: ReadonlySet<string> = new Set([
  DEADLINE_MS,
  EXPECTED_TARGET,
  'content-length',
]);

/**
 * Headers for a request on its way to a target.
 * @param headers - Names and values in turn, without those that concern one connection.
 * @param target - Id of the only target that may run it.
 * @param allowedMs - Time that the target has, in milliseconds.
 * @param bodyBytes - Length of the body; undefined if the request has none.
 */
export function writeTargetHeaders(
  headers: readonly string[],
  target: string,
  allowedMs: number,
  bodyBytes: number | undefined,
): string[] {
  const written: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (!OWN_TOWARDS_TARGET.has(headers[i].toLowerCase())) {
      written.push(headers[i], headers[i + 1]);
    }
  }
  written.push('X-Masticlink-Deadline-Ms', String(allowedMs));
  written.push('X-Masticlink-Target-Instance', target);
  if (bodyBytes !== undefined) written.push('Content-Length', String(bodyBytes));
  return written;
}

/** What the head of a target's answer says. */
export interface TargetHead {
  /** Id of the request that it answers. */
  readonly callerRequestId: string | undefined;
  /** Id of the target, where it tells it. */
  readonly target: string | undefined;
  /** Whether it bears the proof that a target made it. */
  readonly isSigned: boolean;
  /** Whether the target has not run the request and never will. */
  readonly hasNotRun: boolean;
  /** Whether the body is not as the target made it. */
  readonly isEncoded: boolean;
  readonly reading: LoadReading | undefined;
  /** How much longer the target stays cold, in milliseconds. */
  readonly coldMs: number;
  /** Requests a second that it takes from all entry VMs together. */
  readonly limit: NamedLimit;
}

function getText(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Reads the head of a target's answer to a request or a probe.
 * @param headers - Its headers.
 * @param isHealthy - Whether its status says that the target is well.
 * @param now - Monotonic milliseconds.
 */
export function readTargetHead(
  headers: IncomingHttpHeaders,
  isHealthy: boolean,
  now: number,
): TargetHead {
  const coldMs = Number(headers[COLD_MS] ?? 0);
  return {
    callerRequestId: getText(headers, REQUEST_ID),
    target: getText(headers, TARGET_ID),
    isSigned: headers[SIGNATURE] !== undefined,
    hasNotRun: headers[NOT_EXECUTED] !== undefined,
    isEncoded: headers['content-encoding'] !== undefined,
    reading: readLoad(getText(headers, LOAD), isHealthy, now),
    coldMs: Number.isFinite(coldMs) ? coldMs : 0,
    limit: readLimit(getText(headers, LIMIT)),
  };
}
