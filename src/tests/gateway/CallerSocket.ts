import type { Socket } from 'node:net';

/** Time that callers allow, in milliseconds: longer than any test takes, even on a busy machine. */
export const ALLOWED_MS = 30_000;

/** A caller's raw connection, to which a test can write arbitrary bytes. */
export class CallerSocket {
  /** Everything received so far. */
  received = '';

  isEnded = false;

  /** @param socket - The connection. */
  constructor(readonly socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('data', (data: string) => {
      this.received += data;
    });
    socket.on('error', () => {});
    socket.on('end', () => {
      this.isEnded = true;
    });
  }

  /** Sends pipelined requests in a single write. */
  sendRequests(...ids: readonly string[]): void {
    const heads = ids.map(
      (id) =>
        `GET /horaires/x HTTP/1.1\r\nHost: door.example\r\nX-Masticlink-Request-Id: ${id}\r\n` +
        `X-Masticlink-Deadline-Ms: ${ALLOWED_MS}\r\n\r\n`,
    );
    this.socket.write(heads.join(''));
  }

  /** Statuses of the answers received so far, in order. */
  get statuses(): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => Number(status));
  }

  /** Ids of the requests that the target answered, in the order of the answers. */
  get answeredIds(): string[] {
    return [...this.received.matchAll(/X-Masticlink-Request-Id: (\S+)/gi)].map(([, id]) => id);
  }
}
