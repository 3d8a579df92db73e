import { createServer } from 'node:net';

/**
 * Range of candidate ports: below the ephemeral ports of the system (on Linux from 32,768) and above
 * the ports of well-known services.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_999;

/** Distance between the first ports of processes that search at the same time. */
const PORTS_PER_PROCESS = 400;

const PORT_BLOCKS = Math.floor((LAST_PORT - FIRST_PORT + 1) / PORTS_PER_PROCESS);

let nextPort = FIRST_PORT + (process.pid % PORT_BLOCKS) * PORTS_PER_PROCESS;

function takePort(): number {
  const port = nextPort;
  nextPort = port >= LAST_PORT ? FIRST_PORT : port + 1;
  return port;
}

/** Whether no process listens on a loopback port. */
function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Finds free loopback ports for programs that are restarted.
 *
 * While a program is down, the system may assign its ephemeral port to another program. Callers would
 * then reach the wrong program, and the restarted one would find its port in use.
 * @param count - Number of ports.
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
