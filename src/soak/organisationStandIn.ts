import type { Organisation, RoutingTable } from '../balancing/index.js';
import type { PlatformStore } from '../platform/standIn/index.js';
import { putConfiguration } from '../platform/standIn/index.js';

/** An organisation as an operator configures it: with its keys in place of their digests. */
export interface ConfiguredOrganisation extends Omit<Organisation, 'keyDigests'> {
  readonly apiKeys: readonly string[];
}

/** What a request that reached a target says about its caller, line by line. */
export interface ReceivedIdentity {
  /** Values of all headers that name an organisation. */
  readonly organisations: readonly string[];
  /** Values of all headers with an API key. */
  readonly apiKeys: readonly string[];
}

const API_KEY_HEADER = 'x-masticlink-credential';
const ORGANISATION_HEADER = 'x-masticlink-tenant-id';

/**
 * Writes a configuration with organisations to a stand-in store. A store whose `putConfiguration`
 * takes no organisations drops them.
 */
export const putOrganisations: (
  store: PlatformStore,
  table: RoutingTable,
  organisations: readonly ConfiguredOrganisation[] | undefined,
) => void = putConfiguration;

/** Builds the header with a caller's API key; empty if the caller sends none. */
export function writeApiKey(apiKey: string | undefined): Record<string, string> {
  return apiKey === undefined ? {} : { [API_KEY_HEADER]: apiKey };
}

/**
 * Builds headers by which a caller claims to belong to organisations, as alternating names and values
 * in different letter case.
 * @param names - Names of the organisations.
 */
export function writeClaims(names: readonly string[]): string[] {
  return names.flatMap((name, i) => [
    i % 2 === 0 ? ORGANISATION_HEADER : ORGANISATION_HEADER.toUpperCase(),
    name,
  ]);
}
