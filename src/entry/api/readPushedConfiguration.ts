import type { ConfigRoot, ServiceObject } from '../../core/index.js';

/** A configuration pushed by the publishing step. */
export interface PushedConfiguration {
  readonly root: ConfigRoot;
  readonly services: readonly ServiceObject[];
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isRoot(value: unknown): value is ConfigRoot {
  if (!isObject(value)) return false;
  const { generation, zones, services, nonce } = value;
  const hasGeneration = Number.isSafeInteger(generation) && (generation as number) > 0;
  return hasGeneration && Array.isArray(zones) && isObject(services) && typeof nonce === 'string';
}

function isServiceObject(value: unknown): value is ServiceObject {
  if (!isObject(value) || typeof value.hash !== 'string') return false;
  return isObject(value.service) && typeof value.service.name === 'string';
}

/**
 * Validates a body of `POST /v1/admin/configuration`; returns a description of the fault if it is
 * invalid.
 * @param body - The parsed body.
 */
export function readPushedConfiguration(body: unknown): PushedConfiguration | string {
  if (!isObject(body)) return 'send an object with "root" and "services"';
  if (!isRoot(body.root)) {
    return '"root" must have a generation above 0, zones, services by hash, and a nonce';
  }
  if (!Array.isArray(body.services) || !body.services.every(isServiceObject)) {
    return '"services" must be a list of objects with "hash" and "service"';
  }
  return { root: body.root, services: body.services };
}
