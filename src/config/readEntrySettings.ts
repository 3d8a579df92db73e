import { randomBytes } from 'node:crypto';

import type { CoreSettings } from '../core/index.js';
import { REPORT_STORE_SHARE } from '../report/flushPeriod.js';

import type { EntrySettings, ListenAddress } from './EntrySettings.js';
import { IniFile } from './IniFile.js';
import type { TableValues } from './keyTable.js';
import { readTable } from './keyTable.js';
import { getOrThrow, readText } from './readText.js';
import { SETTINGS_KEYS } from './settingsKeys.js';

type SettingsValues = TableValues<typeof SETTINGS_KEYS>;

/**
 * Minimum number of renewals per lease, so that a lease survives two failed renewals. Otherwise one slow
 * answer of the store would leave the targets of the lease idle.
 */
const RENEWALS_PER_LEASE = 3;

function formatAddress({ host, port }: ListenAddress): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

function createCoreSettings(values: SettingsValues, bootNonce: string): CoreSettings {
  const { process, listen, platform, fleet } = values;
  return {
    self: {
      id: `${process.vm}#${bootNonce}`,
      zone: process.zone,
      address: listen['advertise-callers'] ?? formatAddress(listen.callers),
      peerAddress: listen['advertise-peers'] ?? formatAddress(listen.peers),
    },
    region: process.region,
    partitionsPerZone: fleet['partitions-per-zone'],
    leaseDurationMs: fleet['lease-duration'],
    leaseRenewMs: fleet['lease-renewal'],
    leaseMarginMs: fleet['lease-margin'],
    freshnessMs: fleet.freshness,
    addressTtlMs: fleet['address-ttl'],
    storeWritesPerSecond: platform['store-writes'] * (1 - REPORT_STORE_SHARE),
    storeReadsPerSecond: platform['store-reads'] * (1 - REPORT_STORE_SHARE),
    maxEntryVms: platform['max-entry-vms'],
    configurationWatchers: fleet['configuration-watchers'],
    keyPartitions: fleet['key-partitions'],
    peerDelayMs: fleet['peer-delay'],
  };
}

function createSettings(values: SettingsValues, bootNonce: string): EntrySettings {
  const { process, listen, platform, limits, log } = values;
  return {
    core: createCoreSettings(values, bootNonce),
    listen: listen.callers,
    peerListen: listen.peers,
    storeUrl: platform.store,
    storeTimeoutMs: platform['store-timeout'],
    vmListUrl: platform['vm-list'],
    vmListPeriodMs: platform['vm-list-period'],
    adminToken: process['admin-token'],
    bounds: {
      headerBytes: limits.headers,
      bodyBytes: limits.body,
      replayBytes: limits['replay-body'],
      storedAnswerBytes: limits['stored-answer'],
      callerConnections: limits.connections,
    },
    log,
  };
}

function checkKeyCombinations(ini: IniFile, values: SettingsValues): void {
  const { fleet, listen } = values;
  if (fleet['lease-renewal'] * RENEWALS_PER_LEASE > fleet['lease-duration']) {
    ini.report(
      ini.getSection('fleet')?.line,
      `a renewal every ${fleet['lease-renewal']}ms is too infrequent for a lease of ${fleet['lease-duration']}ms`,
      'make lease-renewal at most a third of lease-duration',
    );
  }
  for (const [key, advertise] of [
    ['callers', 'advertise-callers'],
    ['peers', 'advertise-peers'],
  ] as const) {
    const entry = ini.getSection('listen')?.entries.get(key);
    const isWildcard = ['0.0.0.0', '::'].includes(listen[key].host);
    if (isWildcard && listen[advertise] === undefined) {
      ini.report(
        entry?.line,
        `"${entry?.value}" is not an address that others can connect to`,
        `write one IP number of this VM, or add "${advertise} = IP:PORT"`,
      );
    }
  }
}

/**
 * Parses and validates the text of a settings file.
 * @param file - Name of the file in messages.
 * @param text - Content of the file.
 * @param bootNonce - Distinguishes this run of the process from earlier ones on the same VM.
 * @throws ConfigProblemsError listing all problems with their lines.
 */
export function parseEntrySettings(file: string, text: string, bootNonce: string): EntrySettings {
  const ini = new IniFile(file, text);
  const values = readTable(ini, SETTINGS_KEYS);
  if (ini.problems.length === 0) checkKeyCombinations(ini, values);
  return getOrThrow(
    ini.problems.length === 0 ? createSettings(values, bootNonce) : undefined,
    ini.problems,
  );
}

/**
 * Reads and validates the settings file of an entry process.
 * @param file - Path of the file.
 * @throws ConfigError if the file cannot be read.
 * @throws ConfigProblemsError listing all problems with their lines.
 * @example
 * const settings = readEntrySettings('/etc/masticlink.ini');
 */
export function readEntrySettings(file: string): EntrySettings {
  return parseEntrySettings(file, readText(file), randomBytes(6).toString('hex'));
}
