import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

import type { ServiceConfig, ZoneConfig } from '../core/index.js';

import { checkAcrossFiles } from './checkAcrossFiles.js';
import { createUnreadableError } from './errors.js';
import type { ConfigProblem } from './problems.js';
import { parseServiceFile } from './readServiceFile.js';
import { getOrThrow, readText } from './readText.js';
import { parseZonesFile } from './readZonesFile.js';

/** Name of the file that lists the availability zones. */
export const ZONES_FILE = 'zones.ini';

/** Suffix of the names of service files. */
export const SERVICE_FILE_ENDING = '.service.ini';

/** Folders with dependencies and build output, which are not searched. */
const SKIPPED_FOLDERS = new Set(['node_modules', 'dist', 'build']);

/** Validated configuration of a directory. */
export interface ConfigurationDir {
  readonly zones: readonly ZoneConfig[];
  /** Sorted by name. */
  readonly services: readonly ServiceConfig[];
  /** Path of each service's file by name of the service, relative to the directory. */
  readonly files: Readonly<Record<string, string>>;
}

function findServiceFiles(dir: string): string[] {
  return readdirSync(dir, { withFileTypes: true })
    .sort((a, b) => (a.name < b.name ? -1 : 1))
    .flatMap((entry) => {
      const path = join(dir, entry.name);
      if (entry.isDirectory()) {
        const isSkipped = entry.name.startsWith('.') || SKIPPED_FOLDERS.has(entry.name);
        return isSkipped ? [] : findServiceFiles(path);
      }
      return entry.name.endsWith(SERVICE_FILE_ENDING) ? [path] : [];
    });
}

function checkRequiredFiles(dir: string, serviceFiles: readonly string[]): ConfigProblem[] {
  const problems: ConfigProblem[] = [];
  if (!existsSync(join(dir, ZONES_FILE))) {
    problems.push({
      file: join(dir, ZONES_FILE),
      message: 'is missing',
      fix: 'list the availability zones there, a section [zone.NAME] for each',
    });
  }
  if (serviceFiles.length === 0) {
    problems.push({
      file: dir,
      message: 'no service is described here, so publishing would remove all services',
      fix: `give the directory that contains the files NAME${SERVICE_FILE_ENDING}`,
    });
  }
  return problems;
}

/**
 * Reads and validates a directory with `zones.ini` and, at any depth, service files.
 * @param dir - Path of the directory.
 * @throws ConfigError if the directory or a file cannot be read.
 * @throws ConfigProblemsError listing the problems of all files.
 * @example
 * const { zones, services } = readConfigurationDir('examples/makaa');
 */
export function readConfigurationDir(dir: string): ConfigurationDir {
  if (!existsSync(dir)) throw createUnreadableError(dir);
  const paths = findServiceFiles(dir);
  const missing = checkRequiredFiles(dir, paths);
  if (missing.length > 0) return getOrThrow<ConfigurationDir>(undefined, missing);
  const zonesPath = join(dir, ZONES_FILE);
  const { ini, zones } = parseZonesFile(zonesPath, readText(zonesPath));
  const files = paths.map((path) => parseServiceFile(path, readText(path)));
  const problems = [
    ...ini.problems,
    ...files.flatMap((file) => file.ini.problems),
    ...checkAcrossFiles(files, zones),
  ];
  const services = files
    .flatMap(({ service }) => service ?? [])
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  const names = files.map((file) => [
    file.name,
    file.ini.file.slice(dir.length).replace(/^\//, ''),
  ]);
  return getOrThrow({ zones, services, files: Object.fromEntries(names) }, problems);
}
