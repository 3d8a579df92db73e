/** Headers of requests and answers. Names are compared in lower case. */

/** Id of a caller's request; a target repeats it in its answer. */
export const REQUEST_ID = 'x-masticlink-request-id';

/** Milliseconds that the sender waits for an answer. */
export const DEADLINE_MS = 'x-masticlink-deadline-ms';

/** Proof that an answer was made by a target; our own answers never bear it. */
export const SIGNATURE = 'x-masticlink-response-signature';

/** Id of the one target that may run a request. */
export const EXPECTED_TARGET = 'x-masticlink-target-instance';

/** Id of the target that answers. */
export const TARGET_ID = 'x-masticlink-instance-id';

/** Present in an answer if the target has not run the request and never will. */
export const NOT_EXECUTED = 'x-masticlink-not-executed';

/** Running, waiting, slots and, as a fourth figure, slowdown of the target's VM in percent. */
export const LOAD = 'x-masticlink-server-load';

/** Requests a second that the target takes from all entry VMs together, while it says so. */
export const LIMIT = 'server-limit';

/** How much longer a target stays cold, in milliseconds; only in answers to probes. */
export const COLD_MS = 'x-masticlink-warmup-ms';
