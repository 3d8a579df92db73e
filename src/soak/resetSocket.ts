import type { Socket } from 'node:net';

/**
 * Resets a connection, or destroys it if its sending side has ended. While that end is still being
 * sent, the system refuses the reset, so that the connection would never close and keep the process
 * from exiting: all tests would pass, and the test run would hang.
 * @param socket - The connection.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
