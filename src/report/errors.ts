import ModernError from 'modern-errors';

/** Thrown if a report cannot be created. */
export const ReportError = ModernError.subclass('ReportError');

/**
 * Creates a `ReportError`.
 * @param message - What is wrong and what to do.
 */
export function createReportError(message: string): Error {
  return new ReportError(message);
}
