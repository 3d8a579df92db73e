/* global Buffer, clearInterval, performance, process, setInterval, setTimeout */
/** See claim.txt. */
import { readFileSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createRandom, runCase, sleep, TROUBLE } from '../lib/world.mjs';

const HOST = 'hulo84.example';
const SERVICE = 'safari';
const ZONES = ['pwani-a', 'pwani-b', 'pwani-c'];
const BACKENDS = 14;
const SLOTS = 6;

/** `memory_mb` of the site's machines: a process that exceeds it is killed. */
const MEMORY_MB = 350;
const MEMORY_POLL_MS = 25;
const RESTART_MS = 500;
/** The connections of a process that is killed are closed within this time. */
const DEATH_MS = 2_000;
const SETTLE_MS = 3_000;

/** Uploads, within `max_body_bytes` of the configuration, which is 64 MB. */
const UPLOAD_MB = 41;
const UPLOAD_PARTS = 41;
const UPLOAD_MS = 600;
const UPLOAD_DEADLINE_MS = 8_000;
/** Users who upload one file after the other, two for each gateway. */
const UPLOADERS = 6;

/** `burst`: x = 1.7 for 3 s, so that ten users upload instead of six. */
const BURST_X = 1.7;
const BURST_MS = 3_000;

/** Small requests on kept connections, as `dispatch-order` of the sheet. */
const CONSUMERS = 66;
const WORK_MS = 210;
const PAUSE_MS = 100;
const DEADLINE_MS = 4_000;

/** The rule allows this many. */
const MAX_LOST = 3;

const random = createRandom(Number(process.env.SEED ?? Date.now() % 100_000));
const UPLOAD_PART = Buffer.alloc((UPLOAD_MB * 1024 * 1024) / UPLOAD_PARTS, 'x');

async function startBackend(index, world, record) {
  const id = `i-7f3a91c${index}`;
  let running = 0;
  const server = createServer((req, res) => {
    res.setHeader('X-Masticlink-Instance-Id', id);
    res.setHeader('X-Masticlink-Server-Load', `${running},0,${SLOTS},100`);
    if (req.url === '/health') {
      res.end();
      return;
    }
    const requestId = req.headers['x-masticlink-request-id'];
    res.setHeader('X-Masticlink-Request-Id', requestId);
    if (req.headers['x-masticlink-target-instance'] !== id) {
      res.writeHead(421).end();
      return;
    }
    if (running >= SLOTS) {
      res.writeHead(503, { 'X-Masticlink-Not-Executed': '1' }).end();
      return;
    }
    running += 1;
    res.once('close', () => {
      running -= 1;
    });
    let bytes = 0;
    req.on('data', (chunk) => {
      bytes += chunk.length;
    });
    req.once('end', () => {
      record.write(id, 'runs', requestId, `${bytes} bytes`);
      world.runs.add(requestId);
      setTimeout(() => {
        res.writeHead(200, { 'X-Masticlink-Response-Signature': `3e1b.${requestId}` });
        res.end(`done ${requestId}`);
      }, WORK_MS);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  world.register({
    id,
    service: SERVICE,
    zone: ZONES[index % ZONES.length],
    slots: SLOTS,
    born: Date.now(),
    address: `127.0.0.1:${server.address().port}`,
    stop() {
      server.close();
      server.closeAllConnections();
    },
  });
}

/** Memory of a process without the pages of files, such as its program, in MB. */
function readMemoryMb(pid) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/RssAnon:\s+(\d+)/.exec(status)[1]) / 1024;
}

/** The platform: kills a process that exceeds its memory, and starts it again. */
function watchMemory(gateway, record) {
  gateway.startedAt = performance.now();
  gateway.peakMb = 0;
  gateway.ends = [];
  let isDown = false;
  return setInterval(() => {
    if (isDown) return;
    const memoryMb = readMemoryMb(gateway.child.pid);
    gateway.peakMb = Math.max(gateway.peakMb, memoryMb);
    if (memoryMb <= MEMORY_MB) return;
    isDown = true;
    const now = performance.now();
    gateway.ends.push({ at: now, wasInTouch: now - gateway.startedAt > SETTLE_MS });
    record.write(gateway.name, 'exceeds its memory:', Math.round(memoryMb), 'MB, and is killed');
    gateway.kill();
    gateway.ended.then(async () => {
      await sleep(RESTART_MS);
      gateway.fields.bootstrap = false;
      gateway.start();
      gateway.startedAt = performance.now();
      isDown = false;
    });
  }, MEMORY_POLL_MS);
}

/** A consumer with one kept connection to a gateway. */
class Consumer {
  constructor(name, gateway, record) {
    Object.assign(this, { name, gateway, record, count: 0, answeredOnConnection: 0 });
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Sends one request; returns its id, its status if there is one, and how it ended. */
  send(deadlineMs, write, length) {
    this.count += 1;
    const id = `${this.name}-${this.count}`;
    const [host, port] = this.gateway.fields.listen.front.split(':');
    return new Promise((resolve) => {
      const req = request({
        host,
        port,
        agent: this.agent,
        method: 'POST',
        path: '/xapu221/ny95/x',
        timeout: deadlineMs,
        headers: {
          Host: HOST,
          'X-Masticlink-Request-Id': id,
          'X-Masticlink-Deadline-Ms': deadlineMs,
          'Content-Length': length,
        },
      });
      const finish = (status, how) => {
        this.record.write('consumer', id, status ?? 'no answer', how);
        resolve({
          id,
          gateway: this.gateway,
          status,
          how,
          isKept: req.reusedSocket,
          at: performance.now(),
        });
      };
      req.once('timeout', () => req.destroy(new Error('time limit')));
      req.once('response', (res) => {
        res.resume();
        res.once('end', () => finish(res.statusCode, 'complete'));
        res.once('error', () => finish(undefined, 'cut'));
      });
      req.once('error', ({ message }) => finish(undefined, message));
      write(req);
    });
  }
}

async function writeUpload(req) {
  for (let i = 0; i < UPLOAD_PARTS && !req.destroyed; i += 1) {
    const isFull = !req.write(UPLOAD_PART);
    await sleep(UPLOAD_MS / UPLOAD_PARTS);
    if (isFull && !req.destroyed && req.writableNeedDrain) {
      await new Promise((resolve) => {
        req.once('drain', resolve);
        req.once('close', resolve);
      });
    }
  }
  req.end();
}

function judge(results, { gateways, runs }, record) {
  const isLost = ({ id, gateway, how, status, isKept, at }) => {
    const end = gateway.ends.find((each) => at - each.at >= 0 && at - each.at < DEATH_MS);
    const wasPassedOn = runs.has(id) && status === undefined && how !== 'time limit';
    return wasPassedOn && isKept && end?.wasInTouch === true;
  };
  const lost = results.filter(isLost);
  for (const { id, gateway, how } of lost) {
    record.write('LOST', id, 'was passed on by', gateway.name, 'which closed its connection:', how);
  }
  const sums = {
    sent: results.length,
    served: results.filter(({ status }) => status === 200).length,
    refused: results.filter(({ status }) => status === 503).length,
    lost: lost.length,
    ends: gateways.map(({ ends }) => ends.length),
    peaksMb: gateways.map(({ peakMb }) => Math.round(peakMb)),
  };
  record.write('sum', JSON.stringify(sums));
  process.stdout.write(`${JSON.stringify(sums)}\n`);
  return lost.length > MAX_LOST;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (world, record) => {
  world.runs = new Set();
  world.configure({
    services: [SERVICE],
    routes: [
      {
        name: 'dispatch-order',
        host: HOST,
        path_prefix: '/xapu221/ny95/',
        kind: 'non_idempotent',
        service: SERVICE,
        target_latency: '2000ms',
        timeout: '4s',
        max_attempts: 2,
      },
    ],
  });
  for (let i = 0; i < BACKENDS; i += 1) await startBackend(i, world, record);
  await world.startGateways(ZONES);
  await sleep(4_000);
  const { gateways } = world;
  const watches = gateways.map((gateway) => watchMemory(gateway, record));
  const results = [];
  const startedAt = performance.now();
  const endAt = startedAt + 20_000;
  const burstAt = startedAt + 10_000;

  const sendSmall = async (consumer) => {
    await sleep(random() * PAUSE_MS);
    while (performance.now() < endAt) {
      results.push(await consumer.send(DEADLINE_MS, (req) => req.end('order'), 5));
      await sleep(PAUSE_MS * (0.5 + random()));
    }
  };
  const upload = async (consumer, until) => {
    const length = UPLOAD_PART.length * UPLOAD_PARTS;
    while (performance.now() < until) {
      results.push(await consumer.send(UPLOAD_DEADLINE_MS, writeUpload, length));
      await sleep(100 + 100 * random());
    }
  };
  const open = Array.from({ length: CONSUMERS }, (_, i) =>
    sendSmall(new Consumer(`small${i}`, gateways[i % gateways.length], record)),
  );
  for (let i = 0; i < UPLOADERS; i += 1) {
    open.push(upload(new Consumer(`upload${i}`, gateways[i % gateways.length], record), endAt));
  }
  if (TROUBLE) {
    await sleep(burstAt - performance.now());
    record.write('the burst begins');
    for (let i = UPLOADERS; i < Math.round(UPLOADERS * BURST_X); i += 1) {
      const gateway = gateways[Math.floor(random() * gateways.length)];
      const consumer = new Consumer(`upload${i}`, gateway, record);
      open.push(upload(consumer, burstAt + BURST_MS));
    }
  }
  await Promise.all(open);
  watches.forEach(clearInterval);
  return judge(results, world, record);
});
