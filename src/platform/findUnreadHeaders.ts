import type { IncomingHttpHeaders } from 'node:http';

import * as headers from './headers.js';

/** Prefixes of the headers by which targets of the platform state something. */
const STATEMENT_PREFIXES = ['server-', 'x-masticlink-'];

const READ_HEADERS: ReadonlySet<string> = new Set(Object.values(headers));

/**
 * Returns the names of headers by which a target states something that nothing here reads.
 * @param received - Headers of the answer.
 * @example
 * findUnreadHeaders({ 'server-mood': 'low', 'content-type': 'text/plain' }); // ['server-mood']
 */
export function findUnreadHeaders(received: IncomingHttpHeaders): string[] {
  return Object.keys(received).filter(
    (name) =>
      STATEMENT_PREFIXES.some((prefix) => name.startsWith(prefix)) && !READ_HEADERS.has(name),
  );
}
