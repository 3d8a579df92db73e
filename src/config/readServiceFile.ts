import type { ServiceConfig, TargetConfig } from '../core/index.js';

import { IniFile } from './IniFile.js';
import type { TableValues } from './keyTable.js';
import { readTable } from './keyTable.js';
import { getOrThrow, readText } from './readText.js';
import { SERVICE_KEYS, TARGETS_PREFIX } from './serviceKeys.js';
import { ADDRESS, VM_NAME } from './valueTypes.js';

/** A parsed service file; `service` is undefined if the file has problems. */
export interface ServiceFile {
  readonly ini: IniFile;
  /** Name of the service if it is valid, for checks across files. */
  readonly name?: string;
  readonly service?: ServiceConfig;
}

function readTargetLine(
  ini: IniFile,
  zone: string,
  entry: { readonly key: string; readonly value: string; readonly line: number },
  service: string,
): TargetConfig {
  if (VM_NAME.parse(entry.key) === undefined) {
    ini.report(entry.line, `"${entry.key}" is not a VM name`, `expected ${VM_NAME.expected}`);
  }
  if (ADDRESS.parse(entry.value) === undefined) {
    ini.report(
      entry.line,
      `"${entry.value}" is not a valid address for "${entry.key}"`,
      `expected ${ADDRESS.expected}`,
    );
  }
  return { id: `${service}/${entry.key}`, service, zone, address: entry.value };
}

/** Reports duplicate VMs or addresses, which would allow twice as many requests as a target has slots. */
function reportDuplicates(
  ini: IniFile,
  what: string,
  places: readonly { value: string; line: number }[],
): void {
  const seen = new Map<string, number>();
  for (const { value, line } of places) {
    const first = seen.get(value);
    if (first === undefined) seen.set(value, line);
    else ini.report(line, `${what} "${value}" appears twice`, `keep one; first on line ${first}`);
  }
}

function readTargets(ini: IniFile, service: string): TargetConfig[] {
  const sections = ini.getSections().filter(({ name }) => name.startsWith(TARGETS_PREFIX));
  const lines = sections.flatMap(({ entries }) => [...entries.values()]);
  reportDuplicates(
    ini,
    'VM',
    lines.map(({ key, line }) => ({ value: key, line })),
  );
  reportDuplicates(
    ini,
    'address',
    lines.map(({ value, line }) => ({ value, line })),
  );
  return sections.flatMap(({ name, entries }) =>
    [...entries.values()].map((entry) =>
      readTargetLine(ini, name.slice(TARGETS_PREFIX.length), entry, service),
    ),
  );
}

function createService(
  values: TableValues<typeof SERVICE_KEYS>,
  targets: readonly TargetConfig[],
): ServiceConfig {
  const { service, capacity, probe, repeat, queue, objective } = values;
  return {
    name: service.name,
    pathPrefix: service['path-prefix'],
    capacity: {
      slots: capacity.slots,
      maxConnections: capacity['max-connections'],
      connectionCostMs: capacity['connection-cost'],
    },
    probe: {
      path: probe.path,
      costMs: probe.cost,
      budgetShare: probe.budget,
      idleMs: probe.idle,
    },
    repeat: {
      methods: repeat.methods,
      refusedStatuses: repeat['refused-statuses'],
      retryShare: repeat.retries,
      hedgeShare: repeat.hedges,
      keyRetentionMs: repeat['key-retention'],
    },
    queue: { maxLength: queue['max-length'], standingMs: queue.standing },
    objective: { latencyMs: objective.latency, share: objective.share },
    timeoutMs: service.timeout,
    port: service.port,
    targets,
  };
}

/**
 * Parses and validates the text of a service file; problems are in `ini.problems`.
 * @param file - Name of the file in messages.
 * @param text - Content of the file.
 */
export function parseServiceFile(file: string, text: string): ServiceFile {
  const ini = new IniFile(file, text);
  const values = readTable(ini, SERVICE_KEYS, [TARGETS_PREFIX]);
  const { name } = values.service;
  const targets = readTargets(ini, name ?? '');
  const service = ini.problems.length === 0 ? createService(values, targets) : undefined;
  return { ini, name, service };
}

/**
 * Reads and validates one service file, without the checks across files.
 * @param file - Path of the file.
 * @throws ConfigError if the file cannot be read.
 * @throws ConfigProblemsError listing all problems with their lines.
 * @example
 * const service = readServiceFile('services/horaires.service.ini');
 */
export function readServiceFile(file: string): ServiceConfig {
  const { ini, service } = parseServiceFile(file, readText(file));
  return getOrThrow(service, ini.problems);
}
