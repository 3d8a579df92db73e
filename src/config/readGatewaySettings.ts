import type { ListenAddress } from './EntrySettings.js';
import type { GatewaySettings } from './GatewaySettings.js';
import { GATEWAY_SETTINGS_KEYS } from './gatewaySettingsKeys.js';
import { IniFile } from './IniFile.js';
import type { TableValues } from './keyTable.js';
import { readTable } from './keyTable.js';
import { getOrThrow, readText } from './readText.js';

function formatAddress({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}

function createSettings(values: TableValues<typeof GATEWAY_SETTINGS_KEYS>): GatewaySettings {
  const { process, listen, store, peers, bounds } = values;
  return {
    self: {
      name: process.vm,
      zone: process.zone,
      callers: formatAddress(listen.callers),
      peers: formatAddress(listen.peers),
      linkMbps: process['link-mbps'],
    },
    isFirstStart: process['first-start'] === 'true',
    listen,
    storeAddress: store.address,
    seeds: peers.seeds
      .map((address) => address.replace(/:\d+$/, ''))
      .filter((host) => host !== listen.peers.host)
      .map((host) => formatAddress({ host, port: listen.peers.port })),
    balancing: {
      vm: process.vm,
      zone: process.zone,
      retries: {
        ratio: bounds['retry-ratio'],
        windowMs: bounds['retry-window'],
        slack: bounds['retry-slack'],
      },
      cold: { perSecond: bounds['cold-overage'], slack: bounds['cold-slack'] },
      probesPerTargetAndSecond: bounds['probes-per-second'],
      quotas: {
        windowMs: bounds['quota-window'],
        overage: bounds['quota-overage'],
        slack: bounds['quota-slack'],
      },
      rollouts:
        bounds['trial-share'] > 0
          ? { share: bounds['trial-share'], slack: bounds['trial-slack'] }
          : undefined,
    },
    changeBoundMs: Math.min(bounds['configuration-in-force'], bounds['drain-in-force']),
    graceMs: bounds.grace,
    memoryMb: process['memory-mb'],
    addressTtlMostMs: bounds['address-ttl-most'],
  };
}

/**
 * Parses and validates the text of a gateway's settings file.
 * @param file - Name of the file in messages.
 * @param text - Content of the file.
 * @throws ConfigProblemsError listing all problems with their lines.
 */
export function parseGatewaySettings(file: string, text: string): GatewaySettings {
  const ini = new IniFile(file, text);
  const values = readTable(ini, GATEWAY_SETTINGS_KEYS);
  return getOrThrow(ini.problems.length === 0 ? createSettings(values) : undefined, ini.problems);
}

/**
 * Reads and validates a gateway's settings file.
 * @param path - Path of the INI file.
 * @throws ConfigError if the file cannot be read.
 * @throws ConfigProblemsError listing all problems with their lines.
 * @example
 * const settings = readGatewaySettings('/etc/masticlink/node.ini');
 */
export function readGatewaySettings(path: string): GatewaySettings {
  return parseGatewaySettings(path, readText(path));
}
