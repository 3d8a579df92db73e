import type { ZoneConfig } from '../core/index.js';

import { IniFile } from './IniFile.js';
import { readSection } from './keyTable.js';
import { suggest } from './nearest.js';
import { getOrThrow, readText } from './readText.js';
import { NAME } from './valueTypes.js';
import { ZONE_KEYS, ZONE_PREFIX } from './zoneKeys.js';

/** A parsed `zones.ini`; if `ini` has problems, values in `zones` may be missing. */
export interface ZonesFile {
  readonly ini: IniFile;
  readonly zones: readonly ZoneConfig[];
}

function readZone(ini: IniFile, sectionName: string, line: number): ZoneConfig {
  const name = sectionName.slice(ZONE_PREFIX.length);
  if (NAME.parse(name) === undefined) {
    ini.report(line, `"${name}" is not a zone name`, `expected ${NAME.expected}`);
  }
  const { region, state } = readSection(ini, sectionName, ZONE_KEYS);
  return { name, region, state };
}

/**
 * Parses and validates the text of `zones.ini`; problems are in `ini.problems`.
 * @param file - Name of the file in messages.
 * @param text - Content of the file.
 */
export function parseZonesFile(file: string, text: string): ZonesFile {
  const ini = new IniFile(file, text);
  const zones: ZoneConfig[] = [];
  for (const { name, line } of ini.getSections()) {
    if (name.startsWith(ZONE_PREFIX)) zones.push(readZone(ini, name, line));
    else ini.report(line, `unknown section [${name}]`, suggest(name, [`${ZONE_PREFIX}NAME`]));
  }
  if (zones.length === 0) {
    ini.report(undefined, 'no availability zone', `add a section [${ZONE_PREFIX}NAME] for each`);
  } else if (zones.every(({ state }) => state === 'out')) {
    ini.report(
      undefined,
      'every availability zone is out, so nothing could be served',
      'leave at least one "state = in"',
    );
  }
  return { ini, zones };
}

/**
 * Reads and validates `zones.ini`, without the checks across files.
 * @param file - Path of the file.
 * @throws ConfigError if the file cannot be read.
 * @throws ConfigProblemsError listing all problems with their lines.
 * @example
 * const out = readZonesFile('zones.ini').filter(({ state }) => state === 'out');
 */
export function readZonesFile(file: string): readonly ZoneConfig[] {
  const { ini, zones } = parseZonesFile(file, readText(file));
  return getOrThrow(zones, ini.problems);
}
