import { connect } from 'node:net';

/** What a caller gets on its connection. */
export interface ReceivedAnswer {
  /** Undefined if the head is not complete. */
  readonly status: number | undefined;
  readonly body: string;
  /** Whether the caller has to take the answer for a complete one. */
  readonly looksComplete: boolean;
}

/** A request and where it is sent. */
export interface SentRequest {
  /** IP address and port of the server. */
  readonly address: string;
  readonly method: string;
  readonly httpVersion: '1.0' | '1.1';
  readonly id: string;
}

/** Reads a body in chunks as far as it has arrived. */
function readChunks(bytes: string): Pick<ReceivedAnswer, 'body' | 'looksComplete'> {
  let body = '';
  let rest = bytes;
  for (;;) {
    const match = /^([0-9a-f]+)\r\n/i.exec(rest);
    if (match === null) return { body, looksComplete: false };
    const size = Number.parseInt(match[1], 16);
    const chunk = rest.slice(match[0].length);
    if (size === 0) return { body, looksComplete: chunk === '\r\n' };
    if (chunk.length < size + 2) return { body: body + chunk, looksComplete: false };
    body += chunk.slice(0, size);
    rest = chunk.slice(size + 2);
  }
}

function readAnswer(bytes: string, method: string, isReset: boolean): ReceivedAnswer {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return { status: undefined, body: '', looksComplete: false };
  const head = bytes.slice(0, headEnd);
  const status = Number(head.split(' ')[1]);
  const body = bytes.slice(headEnd + 4);
  if (method === 'HEAD' || status === 204 || status === 304) {
    return { status, body, looksComplete: true };
  }
  if (/transfer-encoding: chunked/i.test(head)) return { status, ...readChunks(body) };
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  const looksComplete = length === undefined ? !isReset : body.length === Number(length);
  return { status, body, looksComplete };
}

/**
 * Sends a request on a connection of its own and resolves with what has been received when the
 * connection has ended.
 * @param request - The request.
 */
export async function receiveAnswer(request: SentRequest): Promise<ReceivedAnswer> {
  const { address, method, httpVersion, id } = request;
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  socket.setEncoding('latin1');
  let received = '';
  socket.on('data', (data: string) => {
    received += data;
  });
  socket.write(
    `${method} /horaires/x HTTP/${httpVersion}\r\nHost: door.example\r\nConnection: close\r\n` +
      `X-Masticlink-Request-Id: ${id}\r\n\r\n`,
  );
  const isReset = await new Promise<boolean>((resolve) => {
    socket.once('error', () => resolve(true));
    // A reset that arrives with the last bytes is reported as an ordinary end, a write fails then.
    socket.once('end', () => socket.write('\r\n', (err) => resolve(Boolean(err))));
  });
  socket.destroy();
  return readAnswer(received, method, isReset);
}
