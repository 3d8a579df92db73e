import type { ClientRequest, IncomingMessage } from 'node:http';

import { getFraming } from './AnswerEnd.js';

/** A request of Node's client, with the parts that decide what becomes of a further answer. */
interface SkippingRequest extends ClientRequest {
  /** The answer that was received; a further one would close the connection. */
  res?: IncomingMessage | null;
  shouldKeepAlive: boolean;
}

/** Largest body of a skipped answer, in bytes. */
const MAX_SKIPPED_BYTES = 64 * 1024;

/**
 * Time without further bytes of a skipped answer after which its request fails, in milliseconds.
 * Otherwise a request that may be sent again would wait for its deadline behind an answer that
 * stalls.
 */
const STALL_TIMEOUT_MS = 1_000;

/** A status of the interim answers behind which Node's client reads on. */
const PROCESSING = 102;

/**
 * Whether no further answer can be read behind an answer to another request: its target closes the
 * connection, or Node's client cannot tell where the next one begins.
 * @param method - Method of the request that waits for its answer.
 * @param res - The answer.
 */
export function isLastAnswer(method: string, res: IncomingMessage): boolean {
  const { headers, httpVersion } = res;
  const framing = getFraming(method, res);
  if (framing === 'close') return true;
  const namesBody =
    headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
  // The parser takes what follows a 204 or 304 for the body that the headers name.
  if (framing === 'none' && method !== 'HEAD' && namesBody) return true;
  const options = (headers.connection ?? '').toLowerCase().split(/[\s,]+/);
  return options.includes('close') || (httpVersion === '1.0' && !options.includes('keep-alive'));
}

/**
 * Skips an answer that belongs to another request, and reads the next one on its connection as the
 * answer to this request. The request emits `response` again.
 *
 * Node's client reads on only behind interim answers, so the answer is made one. Where Node does not
 * follow, the request fails as without skipping: if it takes the next answer for a second one, it
 * closes the connection; if it does not read on, this is recognised at the end of the answer.
 * The connection closes after the next answer, as its target may send further answers late.
 * @param req - The request that waits for its answer.
 * @param res - The answer to skip, of which only the head has been read.
 * @returns Whether the answer is skipped; false if Node's client does not have the parts for it.
 * @example
 * req.on('response', (res) => {
 *   if (isOwn(res)) read(res);
 *   else if (!skipAnswer(req, res)) req.destroy();
 * });
 */
export function skipAnswer(req: ClientRequest, res: IncomingMessage): boolean {
  const skipping = req as SkippingRequest;
  if (skipping.res !== res || typeof skipping.shouldKeepAlive !== 'boolean') return false;
  const { socket } = res;
  const readers = socket.listeners('data');
  skipping.res = null;
  skipping.shouldKeepAlive = false;
  res.statusCode = PROCESSING;
  // At the end of an answer, Node's listener would release the connection.
  res.removeAllListeners('end');
  const timer = setTimeout(() => req.destroy(), STALL_TIMEOUT_MS);
  req.once('close', () => clearTimeout(timer));
  let size = 0;
  res.on('data', (chunk: Buffer) => {
    timer.refresh();
    size += chunk.length;
    if (size > MAX_SKIPPED_BYTES) req.destroy();
  });
  res.once('end', () => {
    clearTimeout(timer);
    const listeners = socket.listeners('data');
    const isReadingOn = readers.length > 0 && readers.every((reader) => listeners.includes(reader));
    if (skipping.res === null && !isReadingOn) req.destroy();
  });
  return true;
}
