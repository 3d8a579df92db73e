import { createHash } from 'node:crypto';

import type { ServiceConfig } from '../core/index.js';

/** Serializes a value with sorted keys, so that equal descriptions give equal texts. */
function toCanonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(toCanonicalJson).join(',')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, field]) => `${JSON.stringify(key)}:${toCanonicalJson(field)}`);
  return `{${fields.join(',')}}`;
}

/**
 * Computes the content hash of a service's description.
 * @param service - The description.
 * @returns SHA-256 of its canonical JSON, in hexadecimal.
 * @example
 * const key = `config/services/${service.name}/${hashService(service)}`;
 */
export function hashService(service: ServiceConfig): string {
  return createHash('sha256').update(toCanonicalJson(service)).digest('hex');
}
