import ModernError from 'modern-errors';

/** The platform's VM list could not be read. */
export const VmListError = ModernError.subclass('VmListError');

/**
 * Creates the error for a list that cannot be read completely.
 * @param problem - What is wrong with the list; completes "the VM list …".
 * @param cause - The underlying error, if there is one.
 */
export function createVmListError(problem: string, cause?: unknown): Error {
  return new VmListError(`the VM list ${problem}`, cause === undefined ? {} : { cause });
}
