import { request } from 'undici';

import type { VmListEntry } from '../core/index.js';
import { createVmListError, VmListError } from './errors.js';

/** Timeout for reading the list, in milliseconds. */
const READ_TIMEOUT_MS = 2_000;

function readEntry(value: unknown): VmListEntry {
  const { name, zone, ip, state, service } = value as Partial<Record<keyof VmListEntry, unknown>>;
  const hasStringFields =
    typeof name === 'string' && typeof zone === 'string' && typeof ip === 'string';
  if (!hasStringFields || (state !== 'live' && state !== 'leaving')) {
    throw createVmListError(`has an invalid entry: ${JSON.stringify(value)}`);
  }
  return { name, zone, ip, state, ...(typeof service === 'string' ? { service } : {}) };
}

/** Reads the platform's list of VMs, which lags behind their actual state. */
export class VmListClient {
  /** @param url - URL of the list. */
  constructor(private readonly url: string) {}

  /**
   * Reads the list.
   * @throws VmListError if the list cannot be read completely.
   * @example
   * const vms = await new VmListClient('http://10.0.0.5:7001/vms').read();
   */
  async read(): Promise<readonly VmListEntry[]> {
    try {
      const { statusCode, body } = await request(this.url, {
        signal: AbortSignal.timeout(READ_TIMEOUT_MS),
      });
      if (statusCode !== 200) {
        await body.dump();
        throw createVmListError(`answered with status ${statusCode}`);
      }
      const { vms } = (await body.json()) as { vms?: unknown };
      if (!Array.isArray(vms)) throw createVmListError('answered without "vms"');
      return vms.map(readEntry);
    } catch (error) {
      throw error instanceof VmListError
        ? (error as Error)
        : createVmListError(`could not be read from ${this.url}`, error);
    }
  }
}
