import type { MethodDefinition, ServiceDefinition } from '@grpc/grpc-js';

import { decodeMessage, encodeMessage } from './codec.js';

function defineMethod(name: string): MethodDefinition<unknown, unknown> {
  return {
    path: `/masticlink.Peer/${name}`,
    requestStream: true,
    responseStream: true,
    requestSerialize: encodeMessage,
    requestDeserialize: decodeMessage,
    responseSerialize: encodeMessage,
    responseDeserialize: decodeMessage,
  };
}

/**
 * One-way messages, all over one long-lived call: a call for each message would cost far more than
 * most messages are worth.
 */
export const MESSAGES_METHOD = defineMethod('Messages');

/** Forwarded requests and their answers, one call for each request. */
export const FORWARD_METHOD = defineMethod('Forward');

/** gRPC service of every entry VM for the others; messages are MessagePack, checked on arrival. */
export const PEER_SERVICE: ServiceDefinition = {
  messages: MESSAGES_METHOD,
  forward: FORWARD_METHOD,
};

/** Metadata key for the id of the member that a call is addressed to. */
export const TO_METADATA_KEY = 'masticlink-to';

/** Metadata key for the id of the calling member. */
export const FROM_METADATA_KEY = 'masticlink-from';

/** Status details for refusing a call meant for an earlier process at the same address. */
export const NOT_THIS_MEMBER_DETAILS = 'not this member';

/** Status details for refusing a call that arrives before the process can handle it. */
export const STARTING_DETAILS = 'the entry VM is starting';

/**
 * Largest accepted message, in bytes. Forwarded body chunks and heartbeats of a large fleet stay
 * far below it.
 */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
