import type { ServiceError } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';

import { NOT_THIS_MEMBER_DETAILS, STARTING_DETAILS } from './peerService.js';

/** Start of the details that grpc-js gives the error of a call that never got a connection. */
const NO_CONNECTION_PREFIX = 'No connection established';

function isNotThisMemberError(error: ServiceError): boolean {
  return error.code === status.FAILED_PRECONDITION && error.details === NOT_THIS_MEMBER_DETAILS;
}

/**
 * Whether an error proves that the member's process has ended: its machine refused the connection,
 * or another process answers at its address. With any other error, a timeout above all, the process
 * may be paused or partitioned and still believe that it drives its targets.
 * @param error - The call's error.
 */
export function provesProcessEnded(error: ServiceError): boolean {
  if (isNotThisMemberError(error)) return true;
  if (error.code !== status.UNAVAILABLE) return false;
  return error.details.startsWith(NO_CONNECTION_PREFIX) && error.details.includes('ECONNREFUSED');
}

/**
 * Whether an error proves that the member did not take the call: there was no connection, or the
 * member refused the call.
 * @param error - The call's error.
 */
export function provesNotDelivered(error: ServiceError): boolean {
  if (isNotThisMemberError(error) || error.code === status.INVALID_ARGUMENT) return true;
  if (error.code !== status.UNAVAILABLE) return false;
  return error.details.startsWith(NO_CONNECTION_PREFIX) || error.details === STARTING_DETAILS;
}
