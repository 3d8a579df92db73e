/** Header names of requests and answers, in lower case for comparison. */

/**
 * Number of times that the store has been restored from a copy, in each of its answers; revisions
 * of different epochs cannot be compared.
 */
export const STORE_EPOCH_HEADER = 'store-era';

/** Id of a caller's request, which a target repeats in its answer. */
export const REQUEST_ID_HEADER = 'x-masticlink-request-id';

/** Time that the sender waits for an answer, in milliseconds. */
export const DEADLINE_HEADER = 'x-masticlink-deadline-ms';

/** Key by which an organisation's callers are recognised; nothing but the key. */
export const API_KEY_HEADER = 'x-masticlink-credential';

/** Name of the caller's organisation, on requests to targets. */
export const ORGANISATION_HEADER = 'x-masticlink-tenant-id';

/** Proof that a target made the answer; answers that an entry VM makes itself never carry it. */
export const RESPONSE_SIGNATURE_HEADER = 'x-masticlink-response-signature';

/** Id of the only target that may run the request. */
export const EXPECTED_TARGET_HEADER = 'x-masticlink-target-instance';

/** Id of the target that answered. */
export const TARGET_ID_HEADER = 'x-masticlink-instance-id';

/** Present if the target has not run the request and never will. */
export const NOT_EXECUTED_HEADER = 'x-masticlink-not-executed';

/**
 * Running requests, waiting requests, slots and, optionally, slowdown of the target's VM in
 * percent.
 */
export const LOAD_HEADER = 'x-masticlink-server-load';

/**
 * Requests per second that the target accepts from all entry VMs together; absent if not limited.
 */
export const LIMIT_HEADER = 'server-limit';

/** Seconds for which a target that rejects a request wants no further ones from the sender. */
export const RETRY_AFTER_HEADER = 'retry-after';

/** `1` if the target is shutting down; it says so in all its answers. */
export const LEAVING_HEADER = 'server-leaving';

/** Time that the target remains cold, in milliseconds; only in answers to probes. */
export const COLD_HEADER = 'x-masticlink-warmup-ms';
