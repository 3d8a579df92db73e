import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Resets a caller's connection if the caller ends its own side in the middle of an answer that ends
 * with the connection. Node ends the other side as well, so that the caller would take a truncated
 * answer for a complete one.
 * @param res - The answer.
 */
export function resetIfCallerEnds(res: ServerResponse): void {
  const watch = (socket: Socket): void => {
    const onEnd = (): void => {
      if (!res.writableEnded) socket.resetAndDestroy();
    };
    socket.prependOnceListener('end', onEnd);
    res.once('close', () => socket.off('end', onEnd));
  };
  if (res.socket !== null) watch(res.socket);
  // Waits for the answers to earlier requests of its connection.
  else res.once('socket', watch);
}
