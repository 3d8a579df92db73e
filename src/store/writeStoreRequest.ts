import type { StoreOp } from '../core/index.js';

/** The HTTP request for an operation of the store. */
export interface StoreHttpRequest {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

type RequestWriters = {
  readonly [K in StoreOp['op']]: (op: Extract<StoreOp, { op: K }>) => StoreHttpRequest;
};

function getObjectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

const REQUEST_WRITERS: RequestWriters = {
  get: ({ key }) => ({ method: 'GET', path: getObjectPath(key) }),
  list: ({ prefix }) => ({ method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}` }),
  put: ({ key, value, expect }) => ({
    method: 'PUT',
    path: getObjectPath(key),
    headers: { 'if-match': String(expect), 'content-type': 'application/json' },
    body: JSON.stringify(value),
  }),
  delete: ({ key, expect }) => ({
    method: 'DELETE',
    path: getObjectPath(key),
    headers: { 'if-match': String(expect) },
  }),
  watch: ({ key, after, waitMs }) => ({
    method: 'GET',
    path: `${getObjectPath(key)}?after=${after}&waitMs=${waitMs}`,
  }),
};

/**
 * Writes the HTTP request for an operation of the store.
 * @param op - The operation.
 * @example
 * writeStoreRequest({ op: 'get', key: 'a/b' }).path; // '/objects/a%2Fb'
 */
export function writeStoreRequest(op: StoreOp): StoreHttpRequest {
  return REQUEST_WRITERS[op.op](op as never);
}
