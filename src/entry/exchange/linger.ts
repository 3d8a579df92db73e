import type { IncomingMessage, ServerResponse } from 'node:http';

/** How long the rest of a refused request's body is read and thrown away, in milliseconds. */
const LINGER_MS = 2_000;

/** How much of it is, in bytes. */
const LINGER_BYTES = 16 * 1024 * 1024;

/**
 * Reads what a caller still sends of a request that is answered already, within bounds. Closing at
 * once would reset the connection, and the caller would see the reset in place of the answer. While
 * answers to earlier requests of the connection are owed nothing is closed, or those would be cut.
 * @param req - The request.
 * @param res - Its answer, ended.
 */
export function linger(req: IncomingMessage, res: ServerResponse): void {
  if (req.complete) return;
  const { socket } = req;
  let timer: NodeJS.Timeout | undefined;
  let size = 0;
  const startClock = (): void => {
    const forMs = size > LINGER_BYTES ? 0 : LINGER_MS;
    timer = setTimeout(() => {
      if (!req.complete) socket.destroy();
    }, forMs);
  };
  if (res.writableFinished) startClock();
  else res.once('finish', startClock);
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= LINGER_BYTES) return;
    if (res.writableFinished) socket.destroy();
    else req.pause();
  });
  req.once('close', () => clearTimeout(timer));
  req.resume();
}
