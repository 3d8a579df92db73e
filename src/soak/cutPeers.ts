import { Socket as DatagramSocket } from 'node:dgram';
import { readFileSync } from 'node:fs';
import { Socket } from 'node:net';

/**
 * Loaded before a gateway that a soak cuts off from others. While a file lists their peer ports,
 * datagrams to them are dropped, connections to them are closed, and new ones fail.
 */
const file = process.env.MASTICLINK_SOAK_CUT;

/** Interval at which the file is read, in milliseconds. */
const POLL_INTERVAL_MS = 25;

type AnyFunction = (this: unknown, ...args: unknown[]) => unknown;

let cutPorts: ReadonlySet<number> = new Set();

const socketsByPort = new Map<number, Set<Socket>>();

function readCutPorts(): ReadonlySet<number> {
  try {
    return new Set(JSON.parse(readFileSync(file ?? '', 'utf8')) as number[]);
  } catch {
    return cutPorts;
  }
}

setInterval(() => {
  cutPorts = readCutPorts();
  for (const port of cutPorts) {
    for (const socket of socketsByPort.get(port) ?? []) socket.destroy(new Error('cut off'));
  }
}, POLL_INTERVAL_MS).unref();

const connect = Socket.prototype.connect as AnyFunction;

Socket.prototype.connect = function connectUnlessCut(this: Socket, ...args: unknown[]): Socket {
  const [first] = args;
  const options = (Array.isArray(first) ? first[0] : first) as { port?: number };
  const port = Number(options.port);
  const sockets = socketsByPort.get(port) ?? new Set();
  socketsByPort.set(port, sockets.add(this));
  this.once('close', () => sockets.delete(this));
  if (!cutPorts.has(port)) return connect.apply(this, args) as Socket;
  setImmediate(() => this.destroy(new Error('cut off')));
  return this;
};

const send = DatagramSocket.prototype.send as AnyFunction;

DatagramSocket.prototype.send = function sendUnlessCut(
  this: DatagramSocket,
  ...args: unknown[]
): void {
  const isCut = args.some((arg) => typeof arg === 'number' && cutPorts.has(arg));
  if (!isCut) send.apply(this, args);
} as DatagramSocket['send'];
