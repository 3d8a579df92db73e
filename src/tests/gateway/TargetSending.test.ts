import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';

import test from 'ava';

import type { AttemptEnd } from '../../balancing/index.js';
import type { TargetAnswer } from '../../gateway/TargetSending.js';
import { TargetSending } from '../../gateway/TargetSending.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import { SystemClock } from '../../timing/index.js';

interface Outcome {
  readonly end: AttemptEnd;
  readonly answer: TargetAnswer | undefined;
}

interface SendOptions {
  readonly body?: Buffer;
  readonly agent?: TargetAgent;
}

/** Sends one request to a target that does as `serve` says with each connection. */
async function send(
  serve: (socket: Socket, request: string) => void,
  { body, agent = new TargetAgent(4) }: SendOptions = {},
): Promise<Outcome> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (data) => serve(socket, data.toString('latin1')));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const outcome = await new Promise<Outcome>((resolve) => {
    const sending: TargetSending = new TargetSending({
      agent,
      clock: new SystemClock(),
      to: { target: 't-1', bornAt: 0, address: `127.0.0.1:${port}` },
      method: body === undefined ? 'GET' : 'POST',
      path: '/horaires/',
      headers: ['Host', 'door.example', 'X-Masticlink-Request-Id', 'r-1'],
      body,
      callerRequestId: 'r-1',
      allowedMs: 5_000,
      onEnd: (end) => resolve({ end, answer: sending.answer }),
    });
  });
  agent.destroy();
  server.close();
  return outcome;
}

const SOUND = [
  'X-Masticlink-Request-Id: r-1',
  'X-Masticlink-Response-Signature: 1.2.3',
  'X-Masticlink-Server-Load: 1,0,2,100',
];

function write(status: string, headers: readonly string[], body = ''): string {
  return [`HTTP/1.1 ${status}`, ...headers, '', body].join('\r\n');
}

/** Keeps this process from reading, so that what comes meanwhile is read in one piece. */
function blockFor(ms: number): void {
  const endsAt = Date.now() + ms;
  while (Date.now() < endsAt);
}

test('a whole answer is ready to be delivered', async (t) => {
  const { end, answer } = await send((socket) =>
    socket.write(write('200 OK', [...SOUND, 'Content-Length: 4'], 'full')),
  );
  t.is(end.kind, 'answered');
  t.is(answer?.body.toString(), 'full');
  t.is(end.kind === 'answered' ? end.reading?.running : undefined, 1);
});

test('an answer without length that ends with its connection is whole', async (t) => {
  const { end, answer } = await send((socket) => socket.end(write('200 OK', SOUND, 'all of it')));
  t.is(end.kind, 'answered');
  t.is(answer?.body.toString(), 'all of it');
});

test('an answer without length that is reset is not whole, even if both come at once', async (t) => {
  // A target crashes while it sends an answer without a length. The reset arrives together with the
  // last bytes, and the system reports an ordinary end. The caller would get half an answer that
  // looks complete.
  const { end, answer } = await send((socket) => {
    socket.write(write('200 OK', SOUND, 'half of'), () => {
      socket.resetAndDestroy();
      blockFor(20);
    });
  });
  t.is(end.kind, 'broken');
  t.is(answer, undefined);
});

test('an answer that stops short of its length is broken', async (t) => {
  // A target breaks off in the middle of its answer. The caller must not be given the part as the whole.
  const { end } = await send((socket) =>
    socket.end(write('200 OK', [...SOUND, 'Content-Length: 10'], 'part')),
  );
  t.is(end.kind, 'broken');
});

test('a success without a signature is no answer', async (t) => {
  // A faulty target sends bytes that it did not sign. A caller would take a stranger's word for its own answer.
  const { end } = await send((socket) =>
    socket.write(write('200 OK', [SOUND[0], 'Content-Length: 4'], 'fake')),
  );
  t.is(end.kind, 'spoilt');
});

test('an answer to another request is no answer', async (t) => {
  // The second answer to an earlier request comes late, at the place of the next one's. A caller
  // would get what another caller asked for.
  const { end } = await send((socket) =>
    socket.write(
      write('200 OK', ['X-Masticlink-Request-Id: r-0', SOUND[1], 'Content-Length: 5'], 'other'),
    ),
  );
  t.is(end.kind, 'spoilt');
});

test('an encoded answer is not as the target made it', async (t) => {
  // Something on the way encoded the body although nobody asked for that. The caller could not read it.
  const { end } = await send((socket) =>
    socket.write(write('200 OK', [...SOUND, 'Content-Encoding: gzip', 'Content-Length: 1'], 'x')),
  );
  t.is(end.kind, 'spoilt');
});

test('a rejection says that the request has not run', async (t) => {
  const { end } = await send((socket) =>
    socket.write(
      write('503 Service Unavailable', ['X-Masticlink-Not-Executed: 1', 'Content-Length: 0']),
    ),
  );
  t.is(end.kind, 'rejected');
});

test('another target at the address has not run the request', async (t) => {
  // A target ended and its address went to another one, before this VM heard of it.
  const { end } = await send((socket) =>
    socket.write(write('421 Misdirected Request', ['Content-Length: 0'])),
  );
  t.is(end.kind, 'misdirected');
});

test('a status that promises too much is not passed on', async (t) => {
  // A target answers 503 without saying that it has not run the request. Passed on, it would tell
  // the caller that the request may be sent again, and a booking would be made twice.
  const { end, answer } = await send((socket) =>
    socket.write(write('503 Service Unavailable', [...SOUND, 'Content-Length: 0'])),
  );
  t.deepEqual(end.kind === 'answered' ? end.status : undefined, 503);
  t.is(answer?.status, 502);
  t.deepEqual(answer?.headers, []);
});

test('nothing was sent where no connection came about', async (t) => {
  const agent = new TargetAgent(4);
  const end = await new Promise<AttemptEnd>((resolve) => {
    const sending = new TargetSending({
      agent,
      clock: new SystemClock(),
      to: { target: 't-1', bornAt: 0, address: '127.0.0.1:1' },
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      callerRequestId: undefined,
      allowedMs: 1_000,
      onEnd: resolve,
    });
    t.truthy(sending);
  });
  t.is(end.kind, 'unsent');
});

test('what this VM adds to a request names its one target and the time that is left', async (t) => {
  let seen = '';
  await send(
    (socket, request) => {
      seen = request;
      socket.write(write('200 OK', [...SOUND, 'Content-Length: 0']));
    },
    { body: Buffer.from('three') },
  );
  t.snapshot(seen.replace(/127\.0\.0\.1:\d+/, 'ADDRESS'));
});
