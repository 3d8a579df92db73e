import { readFileSync } from 'node:fs';

import { createProblemsError, createUnreadableError } from './errors.js';
import type { ConfigProblem } from './problems.js';

/**
 * Reads a file as UTF-8 text.
 * @param file - Path of the file.
 * @throws ConfigError if it cannot be read.
 */
export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    throw createUnreadableError(file, cause);
  }
}

/**
 * Returns a parsed value if there are no problems.
 * @param value - Parsed value.
 * @param problems - Problems found while parsing it.
 * @throws ConfigProblemsError listing all problems.
 */
export function getOrThrow<T>(value: T | undefined, problems: readonly ConfigProblem[]): T {
  if (problems.length > 0 || value === undefined) throw createProblemsError(problems);
  return value;
}
