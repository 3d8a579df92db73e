import ModernError from 'modern-errors';

/** The store's answer violates its protocol. */
export const StoreProtocolError = ModernError.subclass('StoreProtocolError');

/**
 * Creates the error for an answer of the store that cannot be read.
 * @param problem - What is wrong with the answer; completes "the store answered …".
 */
export function createStoreProtocolError(problem: string): Error {
  return new StoreProtocolError(`the store answered ${problem}`);
}
