import ModernError from 'modern-errors';

/** Base class of command-line errors. */
export const CliError = ModernError.subclass('CliError');

/** The command line is invalid. */
export const UsageError = CliError.subclass('UsageError');

/**
 * Creates a `UsageError`.
 * @param message - What is wrong and what is expected.
 */
export function createUsageError(message: string): Error {
  return new UsageError(message);
}

/**
 * Creates a `CliError`.
 * @param message - What failed and what to do.
 */
export function createCliError(message: string): Error {
  return new CliError(message);
}
