/** Header names and values, alternating, in the order received: name, value, name, value. */
export type RawHeaders = readonly string[];

/** Values of the headers that masticlink itself reads. Repeated headers are joined by commas. */
interface ExtractedHeaders {
  connection: string | undefined;
  host: string | undefined;
  contentLength: string | undefined;
  contentType: string | undefined;
  transferEncoding: string | undefined;
  upgrade: string | undefined;
  expect: string | undefined;
  via: string | undefined;
  forwardedFor: string | undefined;
  /** Idempotency-Key. */
  key: string | undefined;
  /** Masticlink-Caller. */
  caller: string | undefined;
  /** Masticlink-Deadline-Ms. */
  deadlineMs: string | undefined;
  retryAfter: string | undefined;
  /** Masticlink-Load, Masticlink-Boot and Masticlink-Draining: the load report of a target. */
  load: string | undefined;
  boot: string | undefined;
  draining: string | undefined;
}

/** Transfer codings of which `chunked` is the last one. */
const CHUNKED_LAST_PATTERN = /(?:^|,)\s*chunked\s*$/i;

/**
 * Whether the last chunk marks the end of a body. With any other last transfer coding, the close of
 * the connection does (RFC 9112, 6.3).
 * @param transferEncoding - Value of the header `Transfer-Encoding`.
 * @example
 * endsInChunks('gzip'); // false
 */
export function endsInChunks(transferEncoding: string): boolean {
  return CHUNKED_LAST_PATTERN.test(transferEncoding);
}

/** How a header is treated: whether it is forwarded, and the field that its value is stored in. */
interface HeaderRule {
  readonly isForwarded: boolean;
  readonly field?: keyof ExtractedHeaders;
}

const FORWARD_RULE: HeaderRule = { isForwarded: true };
const DROP_RULE: HeaderRule = { isForwarded: false };

function forwardAndExtract(field: keyof ExtractedHeaders): HeaderRule {
  return { isForwarded: true, field };
}

function dropAndExtract(field: keyof ExtractedHeaders): HeaderRule {
  return { isForwarded: false, field };
}

/**
 * Rules by lowercase name, for headers that are hop-by-hop (RFC 9110, 7.6.1), that masticlink sets
 * itself, or whose value it reads.
 */
const HEADER_RULES = new Map<string, HeaderRule>([
  ['connection', dropAndExtract('connection')],
  ['keep-alive', DROP_RULE],
  ['proxy-connection', DROP_RULE],
  ['proxy-authenticate', DROP_RULE],
  ['proxy-authorization', DROP_RULE],
  ['te', DROP_RULE],
  ['trailer', DROP_RULE],
  ['transfer-encoding', dropAndExtract('transferEncoding')],
  ['upgrade', dropAndExtract('upgrade')],
  ['expect', dropAndExtract('expect')],
  ['via', dropAndExtract('via')],
  ['x-forwarded-for', dropAndExtract('forwardedFor')],
  ['host', forwardAndExtract('host')],
  ['content-length', forwardAndExtract('contentLength')],
  ['content-type', forwardAndExtract('contentType')],
  ['retry-after', forwardAndExtract('retryAfter')],
  ['idempotency-key', forwardAndExtract('key')],
  ['masticlink-caller', forwardAndExtract('caller')],
  ['masticlink-deadline-ms', dropAndExtract('deadlineMs')],
  ['masticlink-load', dropAndExtract('load')],
  ['masticlink-boot', dropAndExtract('boot')],
  ['masticlink-draining', dropAndExtract('draining')],
  // Only masticlink itself may state whether a request ran. A target that copies these headers from
  // the answer to another request would make a false statement about this one.
  ['masticlink-outcome', DROP_RULE],
  ['masticlink-replayed', DROP_RULE],
  ['masticlink-reason', DROP_RULE],
  // Concerns the connection between two entry VMs only.
  ['masticlink-forward', DROP_RULE],
]);

/**
 * Cache of rules by header name in the sender's spelling. Its size is limited, since callers choose
 * the spelling.
 */
const RULES_BY_SPELLING = new Map<string, HeaderRule>();
const MAX_CACHED_SPELLINGS = 1_000;

/** Common values of the Connection header that name no other header. */
const PLAIN_CONNECTION_VALUES = new Set(['keep-alive', 'close', 'Keep-Alive', 'Close']);

function getRule(name: string): HeaderRule {
  const cached = RULES_BY_SPELLING.get(name);
  if (cached !== undefined) return cached;
  const rule = HEADER_RULES.get(name.toLowerCase()) ?? FORWARD_RULE;
  if (RULES_BY_SPELLING.size < MAX_CACHED_SPELLINGS) RULES_BY_SPELLING.set(name, rule);
  return rule;
}

/** The headers to forward, and the extracted values. */
export interface CleanHeaders extends Readonly<ExtractedHeaders> {
  /** Headers to forward; callers of `cleanHeaders` may append to them. */
  headers: string[];
}

/** Sets every field from the start: objects with the same shape are faster to access. */
function createEmptyHeaders(): CleanHeaders & ExtractedHeaders {
  return {
    headers: [],
    connection: undefined,
    host: undefined,
    contentLength: undefined,
    contentType: undefined,
    transferEncoding: undefined,
    upgrade: undefined,
    expect: undefined,
    via: undefined,
    forwardedFor: undefined,
    key: undefined,
    caller: undefined,
    deadlineMs: undefined,
    retryAfter: undefined,
    load: undefined,
    boot: undefined,
    draining: undefined,
  };
}

function removeConnectionHeaders(headers: string[], connection: string): string[] {
  const named = new Set(connection.split(',').map((token) => token.trim().toLowerCase()));
  named.delete('close');
  named.delete('keep-alive');
  if (named.size === 0) return headers;
  return headers.filter((_, i) => !named.has(headers[i - (i % 2)].toLowerCase()));
}

/**
 * Removes hop-by-hop headers, including those that the Connection header names, and extracts the
 * values that masticlink reads. A message that kept hop-by-hop headers could make the next server
 * end a body at the wrong place.
 * @param raw - Headers as received: strings, or buffers as undici provides them.
 * @example
 * cleanHeaders(['Host', 'horaires', 'Connection', 'close']).headers; // ['Host', 'horaires']
 */
export function cleanHeaders(raw: readonly (string | Buffer)[]): CleanHeaders {
  const clean = createEmptyHeaders();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toString('latin1' as never);
    const value = raw[i + 1].toString('latin1' as never);
    const rule = getRule(name);
    if (rule.isForwarded) clean.headers.push(name, value);
    if (rule.field !== undefined) {
      const existing = clean[rule.field];
      clean[rule.field] = existing === undefined ? value : `${existing}, ${value}`;
    }
  }
  const { connection } = clean;
  if (connection !== undefined && !PLAIN_CONNECTION_VALUES.has(connection)) {
    clean.headers = removeConnectionHeaders(clean.headers, connection);
  }
  return clean;
}
