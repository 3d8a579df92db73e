import type { Socket } from 'node:net';

/**
 * Resets a connection. One whose sending side has ended is closed instead: while that end is on its
 * way the system refuses the reset, nothing closes the connection any more, and it keeps the process
 * from ending; seen as a test run in which all passes and which does not end.
 * @param socket - The connection.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
