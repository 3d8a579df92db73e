import type { IncomingHttpHeaders } from 'node:http';

import type { RequestedPause, TargetStatements } from '../balancing/index.js';
import { DECIMAL_PATTERN } from './decimal.js';
import { findUnreadHeaders } from './findUnreadHeaders.js';
import { LEAVING_HEADER, NOT_EXECUTED_HEADER, RETRY_AFTER_HEADER } from './headers.js';

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const MS_PER_SECOND = 1_000;

/**
 * Parses the pause that a rejection asks for. A date is unreadable: the clocks of VMs differ.
 * @param text - Value of the header; undefined if the header is absent.
 * @example
 * readPauseMs('1.5'); // 1500
 */
export function readPauseMs(text: string | undefined): RequestedPause {
  if (text === undefined) return undefined;
  const seconds = text.trim();
  const pauseMs = DECIMAL_PATTERN.test(seconds) ? Number(seconds) * MS_PER_SECOND : NaN;
  return Number.isFinite(pauseMs) ? pauseMs : 'unreadable';
}

/** Whether a status asks the sender for a pause if the answer says for how long. */
function isPauseRequest(status: number, headers: IncomingHttpHeaders): boolean {
  if (status === UNAVAILABLE) return true;
  // A 429 of an application that has run the request concerns one caller only.
  return status === TOO_MANY_REQUESTS && headers[NOT_EXECUTED_HEADER] !== undefined;
}

function readIsDraining(value: string | string[] | undefined): boolean {
  return [value ?? []].flat().some((text) => text.split(',').some((part) => part.trim() === '1'));
}

/**
 * Reads what an answer states about its target.
 * @param headers - Headers of the answer.
 * @param status - Its status.
 * @example
 * readStatements({ 'retry-after': '3' }, 503); // pauseMs: 3000, isDraining: false
 */
export function readStatements(headers: IncomingHttpHeaders, status: number): TargetStatements {
  return {
    pauseMs: isPauseRequest(status, headers) ? readPauseMs(headers[RETRY_AFTER_HEADER]) : undefined,
    isDraining: readIsDraining(headers[LEAVING_HEADER]),
    unreadHeaders: findUnreadHeaders(headers),
  };
}
