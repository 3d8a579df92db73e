import ModernError from 'modern-errors';

/** Base class of the entry process's errors. */
export const EntryError = ModernError.subclass('EntryError');

/** The process could not start. */
export const StartError = EntryError.subclass('StartError');

/**
 * Creates the error for a caller address that can't be listened on.
 * @param address - The address as `host:port`.
 * @param cause - The error of the operating system.
 */
export function createListenError(address: string, cause: unknown): Error {
  return new StartError(`can't listen for callers on ${address}`, { cause });
}
