export { checkAnswerFrame, checkForwardFrame, checkPeerMessage } from './checks.js';
export { PeerError, PeerListenError } from './errors.js';
export { provesNotDelivered, provesProcessEnded } from './failures.js';
export type {
  AnswerEnd,
  AnswerFrame,
  RequestBodyEnd,
  BodyFrame,
  ForwardAnswerHead,
  ForwardFrame,
  ForwardHead,
} from './forwardFrames.js';
export { PeerClient } from './PeerClient.js';
export type { OutgoingPeerCall, PeerClientOptions } from './PeerClient.js';
export { PeerServer } from './PeerServer.js';
export type { IncomingPeerCall, PeerServerOptions } from './PeerServer.js';
