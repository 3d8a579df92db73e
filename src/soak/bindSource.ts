import { Socket } from 'node:net';

/**
 * Loaded before a gateway of a soak: its connections come from an address of its own, so that fault
 * proxies can tell gateways on one host apart.
 */
const source = process.env.MASTICLINK_SOAK_SOURCE;

type Connect = (this: Socket, ...args: unknown[]) => Socket;

const connect = Socket.prototype.connect as Connect;

Socket.prototype.connect = function connectFromSource(this: Socket, ...args: unknown[]): Socket {
  // Node passes its options in a list, together with the callback. They are copied, since the agents
  // of HTTP keep their connections by options.
  const [first] = args;
  if (Array.isArray(first) && typeof first[0] === 'object' && source !== undefined) {
    first[0] = { ...first[0], localAddress: source };
  }
  return connect.apply(this, args);
};
