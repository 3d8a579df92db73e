import type { Socket } from 'node:net';

import test from 'ava';

import { formatResponse, sendRequest, VALID_HEADERS } from './rawTarget.js';

/** Time between two writes that the receiver reads one by one, in milliseconds. */
const WRITE_GAP_MS = 30;

const OWN_ANSWER = formatResponse('200 OK', [...VALID_HEADERS, 'Content-Length: 3'], 'own');

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
const ARRIVALS: Readonly<Record<string, (socket: Socket, late: string) => void>> = {
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
