import type { ServiceConfig, ZoneConfig } from '../core/index.js';

import { suggest } from './nearest.js';
import type { ConfigProblem } from './problems.js';
import type { ServiceFile } from './readServiceFile.js';
import { TARGETS_PREFIX } from './serviceKeys.js';

/** File and line that a problem refers to. */
interface Place {
  readonly file: string;
  readonly line?: number;
}

function getPlace({ ini }: ServiceFile, section: string, key: string): Place {
  const found = ini.getSection(section);
  return { file: ini.file, line: found?.entries.get(key)?.line ?? found?.line };
}

function formatPlace({ file, line }: Place): string {
  return line === undefined ? file : `${file}:${line}`;
}

/** Reports each value that occurred before, in the order of the files. */
function checkUnique(
  items: readonly { readonly value: string; readonly place: Place }[],
  describe: (value: string) => string,
  fix: (first: string) => string,
): ConfigProblem[] {
  const seen = new Map<string, Place>();
  const problems: ConfigProblem[] = [];
  for (const { value, place } of items) {
    const first = seen.get(value);
    if (first) problems.push({ ...place, message: describe(value), fix: fix(formatPlace(first)) });
    else seen.set(value, place);
  }
  return problems;
}

function checkServiceNames(files: readonly ServiceFile[]): ConfigProblem[] {
  const items = files.flatMap((file) =>
    file.name === undefined ? [] : [{ value: file.name, place: getPlace(file, 'service', 'name') }],
  );
  return checkUnique(
    items,
    (name) => `service "${name}" is described twice`,
    (first) => `rename one of them; the other is at ${first}`,
  );
}

function checkTargetAddresses(files: readonly ServiceFile[]): ConfigProblem[] {
  const items = files.flatMap((file) =>
    (file.service?.targets ?? []).map(({ address, zone, id, service }) => ({
      value: address,
      place: getPlace(file, `${TARGETS_PREFIX}${zone}`, id.slice(service.length + 1)),
    })),
  );
  return checkUnique(
    items,
    (address) => `address ${address} is a target of two services`,
    (first) => `its slots cannot be counted for both; the other is at ${first}`,
  );
}

function checkZones(file: ServiceFile, zones: readonly ZoneConfig[]): ConfigProblem[] {
  const names = zones.map(({ name }) => name);
  return file.ini
    .getSections()
    .filter(({ name }) => name.startsWith(TARGETS_PREFIX))
    .map(({ name, line }) => ({ zone: name.slice(TARGETS_PREFIX.length), line }))
    .filter(({ zone }) => !names.includes(zone))
    .map(({ zone, line }) => ({
      file: file.ini.file,
      line,
      message: `zone "${zone}" is not listed in zones.ini`,
      fix: suggest(zone, names),
    }));
}

function isPathPrefix(a: string, b: string): boolean {
  return b === a || b.startsWith(`${a}/`);
}

function checkPathPrefixes(files: readonly ServiceFile[]): ConfigProblem[] {
  const problems: ConfigProblem[] = [];
  const earlier: { service: ServiceConfig; file: ServiceFile }[] = [];
  for (const file of files) {
    const { service } = file;
    const prefix = service?.pathPrefix;
    if (!service || prefix === undefined) continue;
    for (const other of earlier) {
      const otherPrefix = other.service.pathPrefix ?? '';
      if (isPathPrefix(prefix, otherPrefix) || isPathPrefix(otherPrefix, prefix)) {
        problems.push({
          ...getPlace(file, 'service', 'path-prefix'),
          message: `path prefix "${prefix}" overlaps "${otherPrefix}" of service "${other.service.name}"`,
          fix: `paths under both would match two services; the other is at ${formatPlace(getPlace(other.file, 'service', 'path-prefix'))}`,
        });
      }
    }
    earlier.push({ service, file });
  }
  return problems;
}

/**
 * Finds problems between files: duplicate names and addresses, unknown zones and overlapping prefixes.
 * @param files - Parsed service files.
 * @param zones - Availability zones.
 */
export function checkAcrossFiles(
  files: readonly ServiceFile[],
  zones: readonly ZoneConfig[],
): ConfigProblem[] {
  return [
    ...checkServiceNames(files),
    ...files.flatMap((file) => checkZones(file, zones)),
    ...checkTargetAddresses(files),
    ...checkPathPrefixes(files),
  ];
}
