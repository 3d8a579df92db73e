import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import type { ConfigRoot } from '../core/index.js';

import { createBaseFileError } from './errors.js';
import type { PublicationBase } from './Publisher.js';

/** Name of the file that records the generation under which a directory was last published. */
export const BASE_FILE = '.masticlink-base';

/**
 * Reads the generation and nonce under which a directory was last published.
 * @param dir - Directory of the configuration.
 * @returns Undefined if the directory has no base file.
 * @throws PublishError if the file cannot be parsed.
 */
export function readBaseFile(dir: string): PublicationBase | undefined {
  const path = join(dir, BASE_FILE);
  if (!existsSync(path)) return undefined;
  const [generation = '', nonce = ''] = readFileSync(path, 'utf8').trim().split(' ');
  if (!/^\d+$/.test(generation) || nonce === '') throw createBaseFileError(path);
  return { generation: Number(generation), nonce };
}

/**
 * Records an accepted publication in the directory, to be committed together with its files.
 * @param dir - Directory of the configuration.
 * @param root - Accepted root.
 */
export function writeBaseFile(dir: string, root: ConfigRoot): void {
  writeFileSync(join(dir, BASE_FILE), `${root.generation} ${root.nonce}\n`);
}
