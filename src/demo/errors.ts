import ModernError from 'modern-errors';

/** The demo cannot run. */
export const DemoError = ModernError.subclass('DemoError');

/** @param message - What is wrong and what to do. */
export function createDemoError(message: string): Error {
  return new DemoError(message);
}
