import type { ClientRequest, IncomingMessage } from 'node:http';
import { request } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';

import test from 'ava';

import { skipAnswer } from '../../gateway/skipAnswer.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import { waitUntil } from '../entry/fixtures.js';
import { formatResponse, sendRequest, startTarget, VALID_HEADERS } from './rawTarget.js';

/** Time between two writes that the receiver reads one by one, in milliseconds. */
const WRITE_GAP_MS = 30;

const OWN_ANSWER = formatResponse('200 OK', [...VALID_HEADERS, 'Content-Length: 3'], 'own');

/** Pieces in which a late answer arrives; a small one arrives byte by byte. */
const PIECES = 400;

const OTHER_HEADERS = ['X-Masticlink-Request-Id: r-0', VALID_HEADERS[1]];

/** Answers to other requests and to probes, as a target sends them late. */
const LATE_ANSWERS: Readonly<Record<string, string>> = {
  rejection: formatResponse('503 Service Unavailable', [
    'X-Masticlink-Request-Id: r-0',
    'X-Masticlink-Not-Executed: 1',
    'Content-Length: 0',
  ]),
  success: formatResponse(
    '200 OK',
    ['X-Masticlink-Request-Id: r-0', VALID_HEADERS[1], 'Content-Length: 5'],
    'other',
  ),
  'chunked success': formatResponse(
    '200 OK',
    ['X-Masticlink-Request-Id: r-0', VALID_HEADERS[1], 'Transfer-Encoding: chunked'],
    '5\r\nother\r\n0\r\n\r\n',
  ),
  'chunked success with trailers': formatResponse(
    '200 OK',
    [...OTHER_HEADERS, 'Transfer-Encoding: chunked'],
    '5\r\nother\r\n0\r\nX-Masticlink-Request-Id: r-1\r\n\r\n',
  ),
  'success that fills buffers': formatResponse(
    '200 OK',
    [...OTHER_HEADERS, 'Content-Length: 60000'],
    'x'.repeat(60_000),
  ),
  'success behind interim answers': formatResponse(
    '103 Early Hints',
    [],
    formatResponse('102 Processing', [], formatResponse('204 No Content', OTHER_HEADERS)),
  ),
  'success without a body': formatResponse('204 No Content', OTHER_HEADERS),
  'unchanged one': formatResponse('304 Not Modified', OTHER_HEADERS),
  redirection: formatResponse('421 Misdirected Request', [
    'X-Masticlink-Request-Id: r-0',
    'Content-Length: 0',
  ]),
  'answer to a probe': formatResponse('200 OK', [
    'X-Masticlink-Instance-Id: t-1',
    'Content-Length: 0',
  ]),
  'rejection of a probe': formatResponse('503 Service Unavailable', [
    'X-Masticlink-Not-Executed: 1',
    'Content-Length: 0',
  ]),
};

/** Ways in which the late answer and the own one reach the receiver. */
const ARRIVALS: Readonly<Record<string, (socket: Socket, late: string) => unknown>> = {
  'in one read': (socket, late) => socket.write(late + OWN_ANSWER),
  'one by one': (socket, late) => {
    socket.write(late);
    setTimeout(() => socket.write(OWN_ANSWER), WRITE_GAP_MS);
  },
  'cut in the middle': (socket, late) => {
    const bytes = late + OWN_ANSWER;
    const middle = late.length - 3;
    socket.write(bytes.slice(0, middle));
    setTimeout(() => socket.write(bytes.slice(middle)), WRITE_GAP_MS);
  },
  'in pieces': async (socket, late) => {
    const bytes = late + OWN_ANSWER;
    const size = Math.ceil(bytes.length / PIECES);
    socket.setNoDelay();
    for (let at = 0; at < bytes.length; at += size) {
      socket.write(bytes.slice(at, at + size));
      await setImmediate();
    }
  },
};

// Guards against failing a request whose own answer follows a late answer to another request.
test('a request is answered behind a late answer to another request', async (t) => {
  for (const [kind, late] of Object.entries(LATE_ANSWERS)) {
    for (const [arrival, write] of Object.entries(ARRIVALS)) {
      const { end, answer } = await sendRequest((socket) => write(socket, late));
      const outcome = { kind: end.kind, status: answer?.status, body: answer?.body.toString() };
      t.deepEqual(outcome, { kind: 'answered', status: 200, body: 'own' }, `${kind}, ${arrival}`);
    }
  }
});

// Guards against taking the own rejection, which is a promise, for a late one.
test('a rejection behind a late one rejects its own request', async (t) => {
  const own = LATE_ANSWERS.rejection.replace('r-0', 'r-1');
  const { end } = await sendRequest((socket) => socket.write(LATE_ANSWERS.rejection + own));
  t.is(end.kind, 'rejected');
});

// Guards against a caller that is told that its request ran when only other requests' answers came.
for (const [name, end] of Object.entries({
  'the connection closes': (socket: Socket) => socket.end(),
  'the connection is reset': (socket: Socket) => socket.resetAndDestroy(),
})) {
  test(`a request has no answer if ${name} behind a late one`, async (t) => {
    const outcome = await sendRequest((socket) => {
      socket.write(LATE_ANSWERS.rejection);
      setTimeout(() => end(socket), WRITE_GAP_MS);
    });
    t.like(outcome.end, { kind: 'spoilt', pauseMs: undefined, isDraining: false });
    t.is(outcome.answer, undefined);
  });
}

/** Late answers behind which no other one can come, although the connection stays open. */
const LAST_ANSWERS: Readonly<Record<string, string>> = {
  'has a length and no body': formatResponse('304 Not Modified', [
    ...OTHER_HEADERS,
    'Content-Length: 5',
  ]),
  'is in chunks and has no body': formatResponse('204 No Content', [
    ...OTHER_HEADERS,
    'Transfer-Encoding: chunked',
  ]),
  'announces the close of its connection': LATE_ANSWERS.rejection.replace(
    'Content',
    'Connection: Close, X-Any\r\nContent',
  ),
  'is of HTTP/1.0': LATE_ANSWERS.success.replace('HTTP/1.1', 'HTTP/1.0'),
  'ends with its connection': formatResponse('200 OK', OTHER_HEADERS, 'other'),
  'has a coding other than chunks': formatResponse(
    '200 OK',
    [...OTHER_HEADERS, 'Transfer-Encoding: identity'],
    'other',
  ),
};

// Guards against waiting for an answer that cannot follow on a connection that its target closes.
for (const [name, late] of Object.entries(LAST_ANSWERS)) {
  test(`a late answer that ${name} is the last one`, async (t) => {
    const { end } = await sendRequest((socket) => socket.write(late));
    t.is(end.kind, 'spoilt');
  });
}

// Guards against a request that waits for its deadline behind a late answer that stalls.
for (const kind of ['success', 'chunked success', 'success that fills buffers']) {
  test(`a request fails behind a late ${kind} that stalls`, async (t) => {
    const { end } = await sendRequest((socket) => socket.write(LATE_ANSWERS[kind].slice(0, -2)));
    t.is(end.kind, 'spoilt');
  });
}

// Guards against taking what follows a broken-off late answer for an answer to this request.
for (const [name, breakOff] of Object.entries({
  'ends by FIN': (socket: Socket) => socket.end(),
  'is reset': (socket: Socket) => socket.resetAndDestroy(),
})) {
  test(`a request fails behind a late answer that ${name} within its body`, async (t) => {
    for (const kind of ['success', 'chunked success', 'success that fills buffers']) {
      const { end, answer } = await sendRequest((socket) =>
        socket.write(LATE_ANSWERS[kind].slice(0, -2), () => breakOff(socket)),
      );
      t.is(end.kind, 'spoilt', kind);
      t.is(answer, undefined);
    }
  });
}

// Guards against reading the own answer as the body that a skipped answer to HEAD names.
test('a late answer to HEAD is skipped without a body', async (t) => {
  const late = formatResponse('200 OK', [...OTHER_HEADERS, 'Content-Length: 5']);
  const own = formatResponse('200 OK', [...VALID_HEADERS, 'Content-Length: 3']);
  const { end, answer } = await sendRequest((socket) => socket.write(late + own), {
    method: 'HEAD',
  });
  t.is(end.kind, 'answered');
  t.is(answer?.body.length, 0);
});

/** Ways in which Node's client may not read on behind a skipped answer. */
const FOREIGN_CLIENTS: Readonly<
  Record<string, (req: ClientRequest, res: IncomingMessage) => boolean>
> = {
  'keeps its answer elsewhere': (req, res) => {
    const { shouldKeepAlive } = req;
    return skipAnswer(Object.assign(Object.create(req), { res: undefined, shouldKeepAlive }), res);
  },
  'has released the connection at the end of the answer': (req, res) => {
    const { statusCode } = res;
    const isSkipped = skipAnswer(req, res);
    res.statusCode = statusCode;
    return isSkipped;
  },
  'takes the next answer for a second one': (req, res) => {
    const isSkipped = skipAnswer(req, res);
    Object.assign(req, { res });
    return isSkipped;
  },
};

// Guards against a version of Node that does not read on, and a request that waits for nothing.
for (const [name, skip] of Object.entries(FOREIGN_CLIENTS)) {
  test(`a request ends if Node's client ${name}`, async (t) => {
    const { server, address } = await startTarget((socket) =>
      socket.once('data', () => {
        socket.write(LATE_ANSWERS.success);
        setTimeout(() => socket.write(OWN_ANSWER), WRITE_GAP_MS);
      }),
    );
    const agent = new TargetAgent(1);
    const [host, port] = address.split(':');
    const req = request({ host, port, agent });
    let answers = 0;
    await new Promise<void>((resolve) => {
      req.on('response', (res) => {
        answers += 1;
        if (!skip(req, res)) req.destroy();
      });
      req.on('error', () => {});
      req.once('close', () => resolve());
      req.end();
    });
    t.is(answers, 1);
    agent.destroy();
    server.close();
  });
}

// Guards against a faulty target that sends other requests' answers without end.
for (const [name, more] of Object.entries({
  answers: LATE_ANSWERS.success,
  'bytes of one answer': formatResponse('200 OK', [
    'X-Masticlink-Request-Id: r-0',
    'Content-Length: 10000000',
  ]).padEnd(64 * 1024, 'x'),
})) {
  test(`late ${name} without end close the connection`, async (t) => {
    let isOpen = true;
    const { end } = await sendRequest((socket) => {
      const timer = setInterval(() => socket.write(more), 5);
      socket.once('close', () => {
        isOpen = false;
        clearInterval(timer);
      });
    });
    t.is(end.kind, 'spoilt');
    await waitUntil(() => !isOpen);
    t.false(isOpen);
  });
}

// Guards against reusing a connection on which a target has sent another request's answer.
test('a connection closes with the answer behind a late one', async (t) => {
  const agent = new TargetAgent(4);
  const closed: string[] = [];
  const { end } = await sendRequest(
    (socket) => {
      socket.once('close', () => closed.push('target'));
      socket.write(LATE_ANSWERS.rejection + OWN_ANSWER);
    },
    { agent },
  );
  t.is(end.kind, 'answered');
  t.deepEqual(Object.keys(agent.freeSockets), []);
  await new Promise((resolve) => {
    setTimeout(resolve, WRITE_GAP_MS);
  });
  t.deepEqual(closed, ['target']);
});
