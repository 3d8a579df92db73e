import type { IncomingMessage, ServerResponse } from 'node:http';

/** Maximum time for reading and discarding the rest of a request's body, in milliseconds. */
const LINGER_MS = 2_000;

/** Maximum size of the discarded rest, in bytes. */
const MAX_LINGER_BYTES = 16 * 1024 * 1024;

/**
 * Reads and discards the rest of a request that has already been answered, within limits of time
 * and size. Closing the connection immediately would reset it, and the caller would see the reset
 * instead of the answer. The connection isn't closed before the answer has been sent, since that
 * would truncate the answers to earlier requests on it.
 * @param req - The request.
 * @param res - The request's answer; already ended.
 */
export function linger(req: IncomingMessage, res: ServerResponse): void {
  if (req.complete) return;
  const { socket } = req;
  let timer: NodeJS.Timeout | undefined;
  let discardedBytes = 0;
  const startTimer = (): void => {
    const delayMs = discardedBytes > MAX_LINGER_BYTES ? 0 : LINGER_MS;
    timer = setTimeout(() => {
      if (!req.complete) socket.destroy();
    }, delayMs);
  };
  if (res.writableFinished) startTimer();
  else res.once('finish', startTimer);
  req.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes <= MAX_LINGER_BYTES) return;
    if (res.writableFinished) socket.destroy();
    else req.pause();
  });
  req.once('close', () => clearTimeout(timer));
  req.resume();
}
