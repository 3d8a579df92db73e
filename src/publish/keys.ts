/** Store key of the root, which defines the accepted configuration. */
export const ROOT_KEY = 'config/root';

/** Prefix of the store keys of service descriptions. */
export const SERVICES_PREFIX = 'config/services/';

/**
 * Gives the store key of a service's description.
 * @param name - Name of the service.
 * @param hash - Hash of the description.
 */
export function getServiceKey(name: string, hash: string): string {
  return `${SERVICES_PREFIX}${name}/${hash}`;
}
