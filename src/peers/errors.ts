import ModernError from 'modern-errors';

/** Base class of errors in the communication between entry VMs. */
export const PeerError = ModernError.subclass('PeerError');

/** The server for calls of other entry VMs could not bind its address. */
export const PeerListenError = PeerError.subclass('PeerListenError');
