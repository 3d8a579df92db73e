import { createServer } from 'node:net';

/**
 * Ports below those that the system gives out by itself (Linux: from 32,768 on) and above those of
 * well-known services.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_999;

/** Processes that look for ports at the same time begin so far apart. */
const PORTS_OF_ONE_PROCESS = 400;

const PLACES = Math.floor((LAST_PORT - FIRST_PORT + 1) / PORTS_OF_ONE_PROCESS);

let nextPort = FIRST_PORT + (process.pid % PLACES) * PORTS_OF_ONE_PROCESS;

function takePort(): number {
  const port = nextPort;
  nextPort = port >= LAST_PORT ? FIRST_PORT : port + 1;
  return port;
}

/** Whether nobody listens at a port of loopback. */
function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Finds free ports for programs that are started, ended and started again.
 *
 * A port that the system gave out goes to whoever asks next while its program is down. A caller then
 * reaches another program there, and the one that starts again finds its port taken.
 * @param count - How many.
 * @example
 * const [callers, peers] = await findPorts(2);
 */
export async function findPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = takePort();
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}
