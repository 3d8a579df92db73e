import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import type { ExecutionContext } from 'ava';
import test from 'ava';

import type { CallerSocket } from './CallerSocket.js';
import { GatewayHarness } from './GatewayHarness.js';

const KB = 1024;
const FIRST_BYTES = 300 * KB;
const ANSWER_BYTES = 900 * KB;

/** A target whose answers are too large to be buffered. */
class LargeTarget {
  readonly answers: ServerResponse[] = [];

  readonly sockets = new Set<Socket>();

  /** @internal */
  private readonly server: Server;

  constructor(private readonly headers: Readonly<Record<string, string | number>>) {
    this.server = createServer((req, res) => this.begin(req, res));
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @internal */
  private begin({ headers, url }: IncomingMessage, res: ServerResponse): void {
    res.setHeader('X-Masticlink-Instance-Id', 't-1');
    res.setHeader('X-Masticlink-Server-Load', '0,0,64,100');
    if (url === '/health') {
      res.end();
      return;
    }
    const id = String(headers['x-masticlink-request-id']);
    res.writeHead(200, {
      'X-Masticlink-Request-Id': id,
      'X-Masticlink-Response-Signature': `s.${id}`,
      ...this.headers,
    });
    res.write(Buffer.alloc(FIRST_BYTES, 'r'));
    this.answers.push(res);
  }
}

interface Scene {
  readonly harness: GatewayHarness;
  readonly target: LargeTarget;
  readonly caller: CallerSocket;
}

/** Starts a request whose answer has begun to reach its caller. */
async function startScene(
  t: ExecutionContext,
  timeoutMs?: number,
  headers: Readonly<Record<string, string | number>> = { 'Content-Length': ANSWER_BYTES },
): Promise<Scene> {
  const target = new LargeTarget(headers);
  const harness = await GatewayHarness.start({ targetAddress: await target.start(), timeoutMs });
  t.teardown(async () => {
    await harness.stop();
    target.stop();
  });
  const caller = await harness.connect();
  caller.sendRequests('r-1');
  await harness.waitUntil(() => caller.received.length > FIRST_BYTES);
  return { harness, target, caller };
}

function wasCut({ logLines }: GatewayHarness, reason: string): boolean {
  return logLines.some((line) => line.event === 'answer.cut' && line.reason === reason);
}

// Guards against a target that works on for nobody and a connection to it that is lost for good.
test('a caller that leaves in the middle of a large answer ends it at the target', async (t) => {
  const { harness, target, caller } = await startScene(t);
  caller.socket.destroy();
  await harness.waitUntil(() => target.answers[0].destroyed);
  await harness.waitUntil(() => wasCut(harness, 'callerLeft'));
  t.false(target.answers[0].writableFinished);
});

// Guards against an answer without end that holds the caller and a connection for good.
for (const [name, headers] of Object.entries<Record<string, string>>({
  'a chunked answer': { 'Transfer-Encoding': 'chunked' },
  'an answer that ends with its connection': { Connection: 'close' },
})) {
  test(`${name} without end is broken off at the deadline`, async (t) => {
    const { harness, target, caller } = await startScene(t, 1_000, headers);
    const [answer] = target.answers;
    const timer = setInterval(() => answer.write(Buffer.alloc(KB, 'r')), 5);
    await harness.waitUntil(() => answer.destroyed && caller.isEnded);
    clearInterval(timer);
    t.true(wasCut(harness, 'late'));
  });
}

// Guards against an answer that stays in memory for as long as its caller does not read.
test('an answer whose caller does not read is broken off at the deadline', async (t) => {
  const { harness, target, caller } = await startScene(t, 1_000, {
    'Content-Length': 100 * KB * KB,
  });
  caller.socket.pause();
  const [answer] = target.answers;
  const write = (): void => {
    while (!answer.destroyed && answer.write(Buffer.alloc(64 * KB, 'r')));
  };
  answer.on('drain', write);
  write();
  await harness.waitUntil(() => answer.destroyed);
  t.true(wasCut(harness, 'late'));
});

// Guards against a caller that waits for the rest of an answer that never comes.
test('a target that breaks off its answer ends it for the caller', async (t) => {
  const { harness, target, caller } = await startScene(t);
  target.answers[0].destroy();
  await harness.waitUntil(() => caller.isEnded);
  t.true(wasCut(harness, 'targetBroke'));
});

// Guards against a new connection to the target for each large answer.
test('the connection of a complete large answer is used again', async (t) => {
  const { harness, target, caller } = await startScene(t);
  const rest = Buffer.alloc(ANSWER_BYTES - FIRST_BYTES, 'r');
  target.answers[0].end(rest);
  await harness.waitUntil(() => caller.received.length > ANSWER_BYTES);
  await harness.pause(50);
  const openCount = target.sockets.size;
  caller.sendRequests('r-2');
  await harness.waitUntil(() => target.answers.length === 2);
  t.is(target.sockets.size, openCount);
  target.answers[1].end(rest);
  await harness.waitUntil(() => caller.received.length > 2 * ANSWER_BYTES);
});

// Guards against answers that a planned stop cuts although the time that it has is not over.
test('a planned stop waits for a large answer that has begun', async (t) => {
  const { harness, target, caller } = await startScene(t);
  const startedAt = performance.now();
  let stoppedMs = 0;
  const stopped = harness.gateway.stop().then(() => {
    stoppedMs = performance.now() - startedAt;
  });
  await harness.pause(3_400);
  t.is(stoppedMs, 0);
  target.answers[0].end(Buffer.alloc(ANSWER_BYTES - FIRST_BYTES, 'r'));
  await stopped;
  t.true(caller.received.length > ANSWER_BYTES);
});

// Guards against an answer without end that holds a process beyond the time that a stop has.
test('a planned stop does not wait for a large answer longer than the grace period', async (t) => {
  const { harness } = await startScene(t);
  const startedAt = performance.now();
  await harness.gateway.stop();
  t.true(performance.now() - startedAt < 4_000);
});
