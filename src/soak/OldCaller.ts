import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** What a caller of HTTP/1.0 received. */
export interface OldAnswer {
  /** 0 if no answer came that looks complete. */
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** A request of HTTP/1.0, as it is sent. */
export interface OldRequest {
  readonly port: number;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** How long its caller waits for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

const NO_ANSWER: OldAnswer = { status: 0, headers: new Map(), body: '' };

/** Parses an answer whose connection was ended; it looks complete unless its length says otherwise. */
function parseEnded(text: string): OldAnswer {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return NO_ANSWER;
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map((line): [string, string] => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const body = text.slice(headEnd + 4);
  const length = headers.get('content-length');
  if (length !== undefined && body.length < Number(length)) return NO_ANSWER;
  return { status: Number(statusLine.split(' ')[1]), headers, body };
}

/**
 * Whether the other side has reset a connection that has been read to its end. A reset that comes
 * together with the last bytes is read as an end; only a write tells the two apart.
 */
function isReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write('\r\n', (err) => resolve(Boolean(err)));
  });
}

/**
 * Sends a request of HTTP/1.0, to whose caller the end of the connection is that of the answer.
 * @param options - The request.
 */
export function sendOldRequest({ port, path, headers, timeoutMs }: OldRequest): Promise<OldAnswer> {
  return new Promise((resolve) => {
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    const chunks: Buffer[] = [];
    const finish = (answer: OldAnswer): void => {
      resolve(answer);
      socket.destroy();
    };
    const timer = setTimeout(() => finish(NO_ANSWER), timeoutMs);
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => finish(NO_ANSWER));
    socket.once('close', () => {
      clearTimeout(timer);
      finish(NO_ANSWER);
    });
    socket.once('end', () => {
      isReset(socket)
        .then((hasReset) =>
          finish(hasReset ? NO_ANSWER : parseEnded(Buffer.concat(chunks).toString('latin1'))),
        )
        .catch(() => finish(NO_ANSWER));
    });
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`GET ${path} HTTP/1.0\r\n${lines.join('')}\r\n`);
  });
}
