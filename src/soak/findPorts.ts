import { createServer } from 'node:net';

/**
 * Range of candidate ports: below the ephemeral ports of the system (on Linux from 32,768) and above
 * the ports of well-known services.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_999;

/** Ports that a process reserves at a time; it listens on the first one and uses the others. */
const PORTS_PER_BLOCK = 100;

const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT + 1) / PORTS_PER_BLOCK);

/** Ports that this process has reserved and not used yet. */
const reserved: number[] = [];

/** Block that is tried next; processes that start one after another begin at different ones. */
let nextBlock = process.pid % BLOCK_COUNT;

/** Search in progress; searches of one process run one after another. */
let search: Promise<unknown> = Promise.resolve();

/** Whether no process listens on a loopback port. */
function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Listens on a loopback port until this process ends. The system lets only one process do so, and ends
 * it also if the process is killed, which a lock file would not survive without a stale owner.
 * @returns Whether the port was free.
 */
function holdPort(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.unref();
      resolve(true);
    });
  });
}

/** Reserves a block of ports that no other process has reserved. */
async function reserveBlock(): Promise<void> {
  for (let i = 0; i < BLOCK_COUNT; i++) {
    const first = FIRST_PORT + nextBlock * PORTS_PER_BLOCK;
    nextBlock = (nextBlock + 1) % BLOCK_COUNT;
    if (await holdPort(first)) {
      reserved.push(...Array.from({ length: PORTS_PER_BLOCK - 1 }, (_, j) => first + 1 + j));
      return;
    }
  }
  throw new Error(`all blocks of ports from ${FIRST_PORT} to ${LAST_PORT} are reserved`);
}

async function takePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = reserved.shift();
    if (port === undefined) await reserveBlock();
    else if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Finds free loopback ports for programs that are restarted. No other process finds the same ports
 * until this one ends.
 *
 * While a program is down, the system may assign its ephemeral port to another program. Callers would
 * then reach the wrong program, and the restarted one would find its port in use.
 * @param count - Number of ports.
 * @example
 * const [callers, peers] = await findPorts(2);
 */
export function findPorts(count: number): Promise<number[]> {
  const found = search.then(() => takePorts(count));
  search = found.catch(() => undefined);
  return found;
}
