/* global Buffer, clearInterval, clearTimeout, performance, setInterval, setTimeout */
/** A backend and a consumer of the protocol page, for answers that are sent over some time. */
import { createServer, connect } from 'node:net';

import { readMessages, writeMessage } from './http.mjs';

/** How often a backend writes a further part of a long answer, in milliseconds. */
const TICK_MS = 20;

/**
 * A sound backend that answers a report as it is made: the first part at once, the rest at a steady
 * pace. It drops a report when its connection closes, and stops at the time limit.
 */
export class ReportBackend {
  /**
   * @param options - `id`, `service`, `zone`, `slots`, and the sizes and time of a report:
   * `firstBytes`, `bytes`, `workMs`.
   * @param record - What it runs.
   */
  constructor(options, record) {
    Object.assign(this, options, { born: Date.now(), record });
    this.running = 0;
    this.runs = new Map();
    this.sockets = new Set();
    this.server = createServer((socket) => this.accept(socket));
  }

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    const connection = { socket, isOpen: true };
    socket.once('close', () => {
      this.sockets.delete(socket);
      connection.isOpen = false;
      connection.drop?.();
    });
    readMessages(socket, (message) => this.handle(connection, message));
  }

  get headers() {
    return {
      'X-Masticlink-Instance-Id': this.id,
      'X-Masticlink-Server-Load': `${this.running},0,${this.slots},100`,
    };
  }

  handle(connection, { start, headers }) {
    const { socket } = connection;
    const [, path] = start.split(' ');
    const id = headers['x-masticlink-request-id'];
    const echo = { 'X-Masticlink-Request-Id': id, ...this.headers, 'Content-Length': 0 };
    if (path === '/health') {
      socket.write(writeMessage('HTTP/1.1 200 OK', { ...this.headers, 'Content-Length': 0 }));
    } else if (headers['x-masticlink-target-instance'] !== this.id) {
      socket.write(writeMessage('HTTP/1.1 421 Misdirected Request', echo));
    } else if (this.running >= this.slots) {
      const rejection = { ...echo, 'X-Masticlink-Not-Executed': 1 };
      socket.write(writeMessage('HTTP/1.1 503 Service Unavailable', rejection));
    } else this.run(connection, id, path, Number(headers['x-masticlink-deadline-ms']));
  }

  run(connection, id, path, deadlineMs) {
    const { socket } = connection;
    this.running += 1;
    this.record.write(this.id, 'runs', id, `with ${deadlineMs} ms left`);
    const run = { id, from: performance.now(), until: undefined, end: 'runs' };
    this.runs.set(id, run);
    const { firstBytes, bytes, workMs } = this;
    let timer;
    const end = (how) => {
      clearInterval(timer);
      connection.drop = undefined;
      run.until = performance.now();
      run.end = how;
      this.running -= 1;
      this.record.write(this.id, 'ends', id, how);
    };
    connection.drop = () => end('dropped as its connection closed');
    let sent = 0;
    const send = (upTo) => {
      if (upTo <= sent) return;
      socket.write(Buffer.alloc(upTo - sent, 'r'));
      sent = upTo;
    };
    timer = setInterval(() => {
      const tookMs = performance.now() - run.from;
      if (sent === 0) {
        const headers = {
          'X-Masticlink-Request-Id': id,
          ...this.headers,
          'X-Masticlink-Response-Signature': `3e1b.${id}.${bytes}`,
          'Content-Length': bytes,
        };
        socket.write(writeMessage('HTTP/1.1 200 OK', headers));
      }
      const share = Math.min(1, tookMs / workMs);
      send(Math.floor(firstBytes + (bytes - firstBytes) * share));
      if (share === 1) end('completed');
      else if (tookMs > deadlineMs) {
        end('stopped at the time limit');
        socket.destroy();
      }
    }, TICK_MS);
  }
}

/**
 * Sends one request on a connection of its own.
 * @param address - Front address of a gateway.
 * @param request - Its `host`, `path`, `id` and `deadlineMs`.
 * @param record - What is sent and answered.
 * @param leaveMs - When the consumer leaves; undefined if it stays.
 * @returns Status, and how many bytes of how many have arrived.
 */
export function sendRequest(address, { host, path, id, deadlineMs }, record, leaveMs) {
  const [ip, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port: Number(port), noDelay: true });
    const sentAt = performance.now();
    let head;
    let headText = '';
    let got = 0;
    const timers = [];
    const finish = (how) => {
      timers.forEach(clearTimeout);
      const tookMs = Math.round(performance.now() - sentAt);
      const result = { ...head, got, how, tookMs, endedAt: performance.now() };
      record.write('consumer', id, `${head?.status}`, `${got} of ${head?.length} bytes`, how);
      socket.removeAllListeners('close');
      socket.destroy();
      resolve(result);
    };
    const leave = (ms, how) => timers.push(setTimeout(() => finish(how), ms));
    leave(deadlineMs, 'time limit');
    if (leaveMs !== undefined) leave(leaveMs, 'left');
    socket.on('error', () => undefined);
    socket.once('close', () => finish('connection closed'));
    socket.on('data', (chunk) => {
      got += chunk.length;
      if (head === undefined) {
        headText += chunk.toString('latin1');
        const headEnd = headText.indexOf('\r\n\r\n');
        if (headEnd < 0) return;
        got -= headEnd + 4;
        const status = Number(headText.split(' ')[1]);
        const length = Number(/content-length: *(\d+)/i.exec(headText)?.[1]);
        const isSigned = /x-masticlink-response-signature:/i.test(headText);
        head = { status, length, isSigned };
      }
      if (got >= head.length) finish('complete');
    });
    record.write('consumer', id, `sends to ${address}`);
    socket.write(
      writeMessage(`GET ${path} HTTP/1.1`, {
        Host: host,
        'X-Masticlink-Request-Id': id,
        'X-Masticlink-Deadline-Ms': deadlineMs,
      }),
    );
  });
}
