/* eslint max-classes-per-file: off */
/* global clearTimeout, performance, process, setTimeout */
/** See claim.txt. */
import { createServer, connect } from 'node:net';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { readMessages, writeMessage } from '../lib/http.mjs';
import { createRandom, runCase, sleep, TROUBLE } from '../lib/world.mjs';

const HOST = 'hulo84.example';
const SERVICE = 'safari';
const ZONES = ['pwani-a', 'pwani-b', 'pwani-c'];

/** A small service; its slots, queue and work are those of `safari` on the sheet. */
const BACKENDS = 5;
const SLOTS = 6;
const QUEUE = 4;
const WORK_MS = 210;

/** Requests a second, two thirds of what the backends can do; the sheet has 44.3. */
const PER_SECOND = 75;
const CONSUMERS = 48;
const DEADLINE_MS = 4_000;
const PLAY_MS = Number(process.env.PLAY_MS ?? 50_000);

/** `srv_grey`, `shed all`, x = 0.55 for 8.5 s: this share of the requests is rejected. */
const SHED_SHARE = 0.55;
const SHED_S = 8.5;
/** `garble`, `extra late`, share = 0.6, x = 0.03 for 5 s. */
const GARBLE_SERVERS = 0.6;
const GARBLE_SHARE = 0.03;
const GARBLE_S = 5;
/** An extra answer arrives this late at most. */
const MAX_LATE_MS = 300;
/** Both come again after a pause. */
const PAUSE_S = 1;

const random = createRandom(Number(process.env.SEED ?? Date.now() % 100_000));

/** Whether a trouble of some length that comes again after a pause is on now. */
function isOn(startedAt, lengthS) {
  const seconds = (performance.now() - startedAt) / 1_000;
  return TROUBLE && seconds >= 0 && seconds % (lengthS + PAUSE_S) < lengthS;
}

/** Backend of the protocol page: slots, a short queue, load reports, rejections. */
class Backend {
  constructor(index, world, record) {
    this.id = `i-7f3a91c${index}`;
    this.service = SERVICE;
    this.zone = ZONES[index % ZONES.length];
    this.slots = SLOTS;
    this.born = Date.now();
    this.isGarbling = index < GARBLE_SERVERS * BACKENDS;
    this.record = record;
    this.world = world;
    this.running = 0;
    this.queue = [];
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
    const connection = { socket, isOpen: true, current: undefined };
    socket.once('close', () => {
      this.sockets.delete(socket);
      connection.isOpen = false;
      connection.current?.drop();
    });
    readMessages(socket, (message) => this.handle(connection, message));
  }

  get load() {
    return `${this.running},${this.queue.length},${SLOTS},100`;
  }

  /** Sends an answer, and in some cases a second copy of it some time later. */
  answer(connection, id, start, headers, body = '') {
    const bytes = writeMessage(
      start,
      {
        'X-Masticlink-Request-Id': id,
        'X-Masticlink-Instance-Id': this.id,
        'X-Masticlink-Server-Load': this.load,
        'Content-Length': body.length,
        ...headers,
      },
      body,
    );
    connection.socket.write(bytes);
    const isGarbled =
      this.isGarbling && isOn(this.world.startedAt, GARBLE_S) && random() < GARBLE_SHARE;
    if (!isGarbled) return;
    setTimeout(() => {
      if (!connection.isOpen) return;
      const awaited = connection.current?.id ?? 'none';
      this.record.write(this.id, 'extra answer', id, `"${start}"`, 'while awaited:', awaited);
      connection.socket.write(bytes);
    }, MAX_LATE_MS * random());
  }

  handle(connection, { start, headers }) {
    const [method, path] = start.split(' ');
    if (path === '/health') {
      connection.socket.write(
        writeMessage('HTTP/1.1 200 OK', {
          'X-Masticlink-Instance-Id': this.id,
          'X-Masticlink-Server-Load': this.load,
          'Content-Length': 0,
        }),
      );
      return;
    }
    const id = headers['x-masticlink-request-id'];
    if (headers['x-masticlink-target-instance'] !== this.id) {
      this.answer(connection, id, 'HTTP/1.1 421 Misdirected Request', {});
      return;
    }
    const isShed = isOn(this.world.startedAt, SHED_S) && random() < SHED_SHARE;
    if (isShed || this.queue.length >= QUEUE) {
      this.record.write(this.id, 'rejects', id);
      const rejection = { 'X-Masticlink-Not-Executed': 1 };
      this.answer(connection, id, 'HTTP/1.1 503 Service Unavailable', rejection);
      return;
    }
    const run = () => this.run(connection, id, method);
    if (this.running < SLOTS) run();
    else {
      this.queue.push(run);
      connection.current = { id, drop: () => this.queue.splice(this.queue.indexOf(run) >>> 0, 1) };
    }
  }

  run(connection, id, method) {
    if (!connection.isOpen) {
      this.queue.shift()?.();
      return;
    }
    this.running += 1;
    this.record.write(this.id, 'runs', id, method);
    this.world.runs.set(id, [...(this.world.runs.get(id) ?? []), this.id]);
    const end = () => {
      connection.current = undefined;
      this.running -= 1;
      this.queue.shift()?.();
    };
    const timer = setTimeout(
      () => {
        const signature = { 'X-Masticlink-Response-Signature': `3e1b.${id}` };
        this.answer(connection, id, 'HTTP/1.1 200 OK', signature, `done ${id}`);
        end();
      },
      WORK_MS * (0.8 + 0.4 * random()),
    );
    connection.current = {
      id,
      drop: () => {
        clearTimeout(timer);
        end();
      },
    };
  }
}

/** A consumer with one kept connection; it retries up to twice after a promise, as the pages say. */
class Consumer {
  constructor(index, addresses, world, record) {
    Object.assign(this, { index, addresses, world, record });
    this.isBusy = false;
  }

  async request(number) {
    this.isBusy = true;
    const deadlineAt = performance.now() + DEADLINE_MS;
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const id = `${number.toString(16).padStart(8, '0')}${this.index.toString(16)}c${attempt}`;
      const leftMs = Math.floor(deadlineAt - performance.now());
      if (leftMs < 50) break;
      const { status, retryAfter } = await this.attempt(id, leftMs);
      this.world.answers.set(id, status);
      this.record.write('consumer', this.index, 'got', status, 'for', id);
      if (![408, 421, 429, 503].includes(status)) break;
      await sleep(Math.min(retryAfter * 1_000, leftMs / 3));
      this.socket?.destroy();
      this.socket = undefined;
    }
    this.isBusy = false;
  }

  attempt(id, leftMs) {
    return new Promise((resolve) => {
      if (this.socket === undefined || this.socket.destroyed) {
        const address = this.addresses[Math.floor(random() * this.addresses.length)];
        const [host, port] = address.split(':');
        this.socket = connect({ host, port: Number(port), noDelay: true });
        this.socket.on('error', () => undefined);
        readMessages(this.socket, (message) => this.onMessage?.(message));
      }
      const { socket } = this;
      let timer;
      const finish = (answer) => {
        clearTimeout(timer);
        this.onMessage = undefined;
        socket.removeAllListeners('close');
        resolve(answer);
      };
      timer = setTimeout(() => {
        finish({ status: 'timeout' });
        socket.destroy();
      }, leftMs);
      socket.once('close', () => finish({ status: 'closed' }));
      this.onMessage = ({ start, headers }) => {
        const status = Number(start.split(' ')[1]);
        if (headers.connection === 'close') socket.destroy();
        finish({ status, retryAfter: Number(headers['retry-after'] ?? 0) });
      };
      this.record.write('consumer', this.index, 'sends', id);
      const body = `lorry ${id}`;
      socket.write(
        writeMessage(
          `POST /xapu221/ny95/${id} HTTP/1.1`,
          {
            Host: HOST,
            'X-Masticlink-Request-Id': id,
            'X-Masticlink-Deadline-Ms': leftMs,
            'Content-Length': body.length,
          },
          body,
        ),
      );
    });
  }
}

function judge({ runs, answers }, record) {
  const broken = [];
  for (const [id, targets] of runs) {
    if (targets.length > 1) broken.push(`TWICE ${id} ran at ${targets.join(' and ')}`);
    const status = answers.get(id);
    if ([408, 421, 429, 503].includes(status)) {
      broken.push(`REFUSED ${id} was answered ${status} and ran at ${targets.join(' and ')}`);
    }
  }
  for (const line of broken) record.write(line);
  const sums = { sent: answers.size, run: runs.size, broken: broken.length };
  record.write('sum', JSON.stringify(sums));
  process.stdout.write(`${broken.slice(0, 10).join('\n')}\n${JSON.stringify(sums)}\n`);
  return broken.length > 0;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (world, record) => {
  world.runs = new Map();
  world.answers = new Map();
  world.startedAt = Number.POSITIVE_INFINITY;
  world.configure({
    services: [SERVICE],
    routes: [
      {
        name: 'dispatch-order',
        host: HOST,
        path_prefix: '/xapu221/ny95/',
        kind: 'non_idempotent',
        service: SERVICE,
        target_latency: '500ms',
        timeout: '2s',
        max_attempts: 3,
      },
    ],
  });
  for (let i = 0; i < BACKENDS; i += 1) {
    const backend = new Backend(i, world, record);
    await backend.start();
    world.register(backend);
  }
  await world.startGateways(ZONES);
  await sleep(3_000);
  const addresses = await world.resolve(world.gateways[0], HOST);
  const consumers = Array.from(
    { length: CONSUMERS },
    (_, i) => new Consumer(i, addresses, world, record),
  );
  world.startedAt = performance.now() + 2_000;
  const open = [];
  const endAt = performance.now() + PLAY_MS;
  for (let number = 1; performance.now() < endAt; number += 1) {
    const idle = consumers.filter(({ isBusy }) => !isBusy);
    const consumer = idle[Math.floor(random() * idle.length)];
    if (consumer !== undefined) open.push(consumer.request(number));
    await sleep((-Math.log(1 - random()) * 1_000) / PER_SECOND);
  }
  await Promise.all(open);
  await sleep(1_000);
  return judge(world, record);
});
