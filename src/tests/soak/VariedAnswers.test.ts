import { connect } from 'node:net';

import test from 'ava';

import { makeBody, PlatformTarget } from '../../platform/standIn/index.js';
import { FaultProxy } from '../../soak/FaultProxy.js';
import { createRandom } from '../../standIns/models/index.js';

const ANSWERS = 60;

const HEAD_END = '\r\n\r\n';

interface ReceivedAnswer {
  readonly id: string;
  readonly head: string;
  /** Undefined if its head is incomplete. */
  readonly body: string | undefined;
  readonly isReset: boolean;
}

function isUnframed({ head, body }: ReceivedAnswer): boolean {
  return body !== undefined && !/content-length|transfer-encoding/i.test(head);
}

function isWhole({ id, body }: ReceivedAnswer): boolean {
  return body === makeBody(id);
}

function isWholeUnframed(answer: ReceivedAnswer): boolean {
  return isUnframed(answer) && isWhole(answer) && !answer.isReset;
}

/** Requests one answer from a target behind a link. */
async function requestAnswer(port: number, id: string): Promise<ReceivedAnswer> {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  let text = '';
  let isReset = false;
  socket.setEncoding('latin1');
  socket.on('data', (data: string) => {
    text += data;
  });
  socket.on('error', () => {
    isReset = true;
  });
  // A reset that comes with the last bytes is read as an end; only a write tells the two apart.
  socket.once('end', () => {
    socket.write('\r\n', (err) => {
      isReset ||= Boolean(err);
      socket.destroy();
    });
  });
  socket.write(`GET /x HTTP/1.1\r\nHost: x\r\nX-Masticlink-Request-Id: ${id}\r\n\r\n`);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  const [head, body] = text.split(HEAD_END);
  return { id, head, body, isReset };
}

// Guards against a soak that blames gateways for an answer that its own target or link ended early.
test('a varied answer without a length ends without a reset only if it is whole', async (t) => {
  const links: FaultProxy[] = [];
  const target = new PlatformTarget({
    id: 't-1',
    slots: 1_000,
    workMs: 0,
    random: createRandom(1),
    onRun: () => {},
    setEndMode: (port, mode) => links[0].setEndMode(port, mode),
  });
  target.varied.share = 1;
  const link = new FaultProxy(await target.start());
  links.push(link);
  const port = Number((await link.start()).split(':')[1]);
  const ids = Array.from({ length: ANSWERS }, (_, i) => `r-${i}`);
  const received: ReceivedAnswer[] = [];
  const answers = Promise.all(
    ids.map(async (id) => {
      const answer = await requestAnswer(port, id);
      received.push(answer);
      return answer;
    }),
  );
  // By then all answers have begun, and those that stall are under way.
  const isUnderWay = (): boolean => {
    const { whole, brokenOff } = target.varied.counts;
    return whole + brokenOff === ANSWERS && received.some(isWholeUnframed);
  };
  while (!isUnderWay()) await new Promise(setImmediate);
  target.crash();
  link.stop();
  const unframed = (await answers).filter(isUnframed);
  t.true(unframed.some(({ isReset }) => isReset));
  t.true(unframed.every((answer) => answer.isReset || isWhole(answer)));
});
