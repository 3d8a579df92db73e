import type { IncomingHttpHeaders } from 'node:http';

import type { LoadReading, AdvertisedLimit } from '../balancing/index.js';
import { digestApiKey } from '../organisations/index.js';
import {
  API_KEY_HEADER,
  COLD_HEADER,
  DEADLINE_HEADER,
  EXPECTED_TARGET_HEADER,
  LIMIT_HEADER,
  LOAD_HEADER,
  NOT_EXECUTED_HEADER,
  ORGANISATION_HEADER,
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

function getSingleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Returns the id of a request; an empty one distinguishes nothing. */
function getRequestId(headers: IncomingHttpHeaders): string | undefined {
  return getSingleHeader(headers, REQUEST_ID_HEADER) || undefined;
}

/**
 * Reads the headers of a caller's request.
 * @param headers - Headers of the request.
 */
export function readCallerHead(headers: IncomingHttpHeaders): CallerHead {
  const allowedMs = Number(headers[DEADLINE_HEADER]);
  return {
    callerRequestId: getRequestId(headers),
    allowedMs:
      headers[DEADLINE_HEADER] !== undefined && Number.isFinite(allowedMs) && allowedMs >= 0
        ? allowedMs
        : undefined,
  };
}

/**
 * Returns the lower-case name by which a target may read a header. Some servers treat underscores in
 * names as hyphens, so that a caller could use them to claim an organisation.
 */
function normalizeName(name: string): string {
  return name.toLowerCase().replaceAll('_', '-');
}

/** Removes headers from alternating names and values, in any spelling and number. */
function removeHeaders(headers: readonly string[], removed: readonly string[]): string[] {
  return headers.filter((_, i) => !removed.includes(normalizeName(headers[i - (i % 2)])));
}

/** Returns the lines that carry the caller's API key, as alternating names and values. */
function getKeyLines(rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, i) => rawHeaders[i - (i % 2)].toLowerCase() === API_KEY_HEADER);
}

/**
 * Returns the digest of a caller's API key.
 * @param rawHeaders - Headers as received, as alternating names and values.
 * @returns Undefined if there is no key, or if lines with different keys leave open which one counts.
 * @example
 * readKeyDigest(['X-Masticlink-Credential', 'x42q492cqf75rjvz48wu']); // 22 characters
 */
export function readKeyDigest(rawHeaders: readonly string[]): string | undefined {
  const [key, ...others] = new Set(getKeyLines(rawHeaders).filter((_, i) => i % 2 === 1));
  if (key === undefined || key === '' || others.length > 0) return undefined;
  // Node reads header values as Latin-1; the configuration's keys are hashed as UTF-8.
  return digestApiKey(Buffer.from(key, 'latin1'));
}

/**
 * Replaces what a caller said about its key and its organisation by the organisation that was found.
 * @param headers - Headers of the request, as alternating names and values.
 * @param organisation - Name of the caller's organisation; undefined if it has none.
 */
export function writeOrganisation(
  headers: readonly string[],
  organisation: string | undefined,
): string[] {
  const written = removeHeaders(headers, [API_KEY_HEADER, ORGANISATION_HEADER]);
  if (organisation === undefined) return written;
  // Node writes header values as Latin-1; targets read the name as UTF-8.
  return [...written, 'X-Masticlink-Tenant-Id', Buffer.from(organisation).toString('latin1')];
}

/**
 * Returns the headers of a request that is forwarded to another VM: with the caller's key as received,
 * also if its Connection header names the key, and without an organisation.
 * @param headers - Headers of the request, without headers that apply to a single connection.
 * @param rawHeaders - Headers as received.
 */
export function keepApiKey(headers: readonly string[], rawHeaders: readonly string[]): string[] {
  const others = removeHeaders(headers, [API_KEY_HEADER, ORGANISATION_HEADER]);
  return [...others, ...getKeyLines(rawHeaders)];
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

/**
 * Returns the header by which an answer names its request.
 * @param callerRequestId - Id of the request; undefined if its caller gave none.
 * @example
 * createRequestIdHeader('r-1'); // one header
 */
export function createRequestIdHeader(callerRequestId: string | undefined): Record<string, string> {
  return callerRequestId === undefined ? {} : { [REQUEST_ID_HEADER]: callerRequestId };
}

/** Transfer codings that leave the bytes of a body as they are once it has been read. */
const PLAIN_TRANSFER_CODINGS: ReadonlySet<string> = new Set(['chunked', 'identity']);

/**
 * Whether a transfer coding changes the bytes of a body. The header is not forwarded, so that
 * callers would take the encoded bytes for the body.
 */
function hasEncodingTransferCoding({ 'transfer-encoding': codings }: IncomingHttpHeaders): boolean {
  const names = codings?.split(',').map((name) => name.trim().toLowerCase()) ?? [];
  return names.some((name) => name !== '' && !PLAIN_TRANSFER_CODINGS.has(name));
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
  /** Whether the body has an encoding that is kept, and is therefore not as the target made it. */
  readonly isEncoded: boolean;
  readonly reading: LoadReading | undefined;
  /** Time that the target remains cold, in milliseconds. */
  readonly coldMs: number;
  /** Requests per second that the target accepts from all entry VMs together. */
  readonly limit: AdvertisedLimit;
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
    callerRequestId: getRequestId(headers),
    target: getSingleHeader(headers, TARGET_ID_HEADER),
    isSigned: headers[RESPONSE_SIGNATURE_HEADER] !== undefined,
    hasNotRun: headers[NOT_EXECUTED_HEADER] !== undefined,
    isEncoded: headers['content-encoding'] !== undefined || hasEncodingTransferCoding(headers),
    reading: readLoad(getSingleHeader(headers, LOAD_HEADER), isHealthy, now),
    coldMs: Number.isFinite(coldMs) ? coldMs : 0,
    limit: readLimit(getSingleHeader(headers, LIMIT_HEADER)),
  };
}
