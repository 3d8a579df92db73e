import ModernError from 'modern-errors';

/** Base class of publishing errors. Nothing was accepted unless a subclass states otherwise. */
export const PublishError = ModernError.subclass('PublishError');

/** Another publication was accepted since the base; the operator has to merge its changes first. */
export const StaleBaseError = PublishError.subclass('StaleBaseError', {
  props: { generation: 0, changed: [] as readonly string[] },
});

/** The store does not answer, and the publication certainly had no effect. */
export const StoreUnavailableError = PublishError.subclass('StoreUnavailableError');

/** The store does not answer, and it is unknown whether the publication was accepted. */
export const UnknownOutcomeError = PublishError.subclass('UnknownOutcomeError');

/**
 * Creates the error that refuses a publication with an outdated base.
 * @param base - Generation that the operator's changes are based on; undefined if unknown.
 * @param generation - Generation in force.
 * @param changed - Services, or `zones`, that were changed since the base.
 */
export function createStaleBaseError(
  base: number | undefined,
  generation: number,
  changed: readonly string[],
): Error {
  const seen =
    base === undefined
      ? `generation ${generation} is in force and it is not known that you have seen it`
      : `generation ${generation} is in force, you started from ${base}`;
  const files = changed.length === 0 ? '' : `; changed since: ${changed.join(', ')}`;
  return new StaleBaseError(
    `refused: ${seen}${files}. Take those changes over, then publish with --base ${generation}`,
    { props: { generation, changed } },
  );
}

/**
 * Creates the error for a store that does not answer.
 * @param what - The operation that failed.
 */
export function createStoreUnavailableError(what: string): Error {
  return new StoreUnavailableError(
    `the store does not answer: ${what}. Nothing was accepted; publish again later`,
  );
}

/**
 * Creates the error for a publication whose outcome is unknown.
 * @param generation - Generation that may have been accepted.
 */
export function createUnknownOutcomeError(generation: number): Error {
  return new UnknownOutcomeError(
    `the store does not answer: generation ${generation} may or may not be accepted. Run the same command again; it finds out and never publishes twice`,
  );
}

/**
 * Creates the error for a base file that cannot be parsed.
 * @param path - Path of the base file.
 */
export function createBaseFileError(path: string): Error {
  return new PublishError(
    `${path}: damaged; delete it and publish with --base GENERATION, as "masticlink status" gives it`,
  );
}
