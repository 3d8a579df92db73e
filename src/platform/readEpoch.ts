import type { IncomingHttpHeaders } from 'node:http';

import { STORE_EPOCH_HEADER } from './headers.js';

/**
 * Reads the epoch of the store from an answer's headers.
 * @param headers - Headers of the answer.
 * @returns The epoch; undefined if the answer states none.
 * @example
 * readEpoch({ 'store-era': '3' }); // 3
 */
export function readEpoch(headers: IncomingHttpHeaders): number | 'unreadable' | undefined {
  const text = headers[STORE_EPOCH_HEADER];
  if (text === undefined) return undefined;
  const epoch = typeof text === 'string' && /^\d+$/.test(text) ? Number(text) : Number.NaN;
  return Number.isSafeInteger(epoch) ? epoch : 'unreadable';
}
