import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/**
 * Finds ports of loopback that nothing listens on now.
 * @param count - How many.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve, reject) => {
          server.once('error', reject);
          server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
        }),
    ),
  );
  const closed = servers.map(
    (server) =>
      new Promise((resolve) => {
        server.close(resolve);
      }),
  );
  await Promise.all(closed);
  return ports;
}
