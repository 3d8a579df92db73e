import ModernError from 'modern-errors';

import type { ConfigProblem } from './problems.js';
import { formatProblem } from './problems.js';

/** Base class of the errors of configuration and settings files. */
export const ConfigError = ModernError.subclass('ConfigError');

/** Files that operators edit are invalid; `problems` lists all problems found, not only the first. */
export const ConfigProblemsError = ConfigError.subclass('ConfigProblemsError', {
  props: { problems: [] as readonly ConfigProblem[] },
});

/**
 * Creates the error that reports all problems at once.
 * @param problems - At least one problem.
 */
export function createProblemsError(problems: readonly ConfigProblem[]): Error {
  const count = problems.length === 1 ? '1 problem' : `${problems.length} problems`;
  const message = [`${count} found`, ...problems.map(formatProblem)].join('\n');
  return new ConfigProblemsError(message, { props: { problems } });
}

/**
 * Creates the error for a file or directory that cannot be read.
 * @param path - File or directory.
 * @param cause - Error of the operating system, if there is one.
 */
export function createUnreadableError(path: string, cause?: unknown): Error {
  return new ConfigError(`${path}: cannot be read; check the path and its permissions`, { cause });
}
