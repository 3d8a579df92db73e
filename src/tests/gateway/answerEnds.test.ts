import type { Socket } from 'node:net';

import test from 'ava';

import { AnswerRelay } from './AnswerRelay.js';
import { formatResponse, startTarget } from './rawTarget.js';
import type { ReceivedAnswer } from './receiveAnswer.js';
import { receiveAnswer } from './receiveAnswer.js';

/** Time for an answer that stalls, and for any other one, in milliseconds. */
const STALLED_MS = 400;
const ALLOWED_MS = 30_000;

const SMALL_BYTES = 2_000;
/** More than the gateway buffers before it starts to send an answer. */
const LARGE_BYTES = 300_000;

/** Share of a body that is sent if it is broken off, so that a large one is being passed on then. */
const SENT_SHARE = 0.95;

/** Time between the last byte and what ends an answer, in milliseconds. */
const SHORT_PAUSE_MS = 5;
const LONG_PAUSE_MS = 30;

const ALPHABET = 'abcdefghijklmnopqrstuvw';

const OTHER_BODY = 'the answer of the other target';

/** An answer as its target sends it. */
interface TargetBytes {
  readonly head: string;
  /** The body with its framing. */
  readonly body: string;
}

/** What becomes of the answer at its caller. */
type Verdict =
  | 'whole'
  /** The whole answer of the other target. */
  | 'other'
  /** A complete 5xx of the gateway. */
  | 'failed'
  /** Visibly incomplete. */
  | 'cut'
  /** Looks complete, and is not an answer that a target has given. */
  | 'false';

function repeatBody(bytes: number): string {
  return ALPHABET.repeat(Math.ceil(bytes / ALPHABET.length)).slice(0, bytes);
}

function formatHead(status: string, id: string, headers: readonly string[] = []): string {
  const echo = [`X-Masticlink-Request-Id: ${id}`, 'X-Masticlink-Response-Signature: 1.2.3'];
  return formatResponse(status, [...echo, ...headers]);
}

function formatChunks(body: string): string {
  const middle = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, middle), body.slice(middle), ''];
  return chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('');
}

/** An answer to another request, which is skipped. */
const LATE_ANSWER = `${formatHead('200 OK', 'r-0', ['Content-Length: 4'])}late`;

/** How an answer's end is marked. */
interface Framing {
  readonly method: string;
  /** Whether only the close of the connection marks the end of the body. */
  readonly endsWithConnection: boolean;
  readonly hasBody: boolean;
  format(id: string, body: string): TargetBytes;
}

const BODIED = { method: 'GET', endsWithConnection: false, hasBody: true };
const BODILESS = { method: 'GET', endsWithConnection: false, hasBody: false };

const FRAMINGS: Readonly<Record<string, Framing>> = {
  'with a length': {
    ...BODIED,
    format: (id, body) => ({
      head: formatHead('200 OK', id, [`Content-Length: ${body.length}`]),
      body,
    }),
  },
  'in chunks': {
    ...BODIED,
    format: (id, body) => ({
      head: formatHead('200 OK', id, ['Transfer-Encoding: chunked']),
      body: formatChunks(body),
    }),
  },
  'up to the close': {
    ...BODIED,
    endsWithConnection: true,
    format: (id, body) => ({ head: formatHead('200 OK', id), body }),
  },
  'with a coding other than chunks': {
    ...BODIED,
    endsWithConnection: true,
    format: (id, body) => ({
      head: formatHead('200 OK', id, ['Transfer-Encoding: identity']),
      body,
    }),
  },
  'up to the close behind a late answer': {
    ...BODIED,
    endsWithConnection: true,
    format: (id, body) => ({ head: LATE_ANSWER + formatHead('200 OK', id), body }),
  },
  'in chunks behind a late answer': {
    ...BODIED,
    format: (id, body) => ({
      head: LATE_ANSWER + formatHead('200 OK', id, ['Transfer-Encoding: chunked']),
      body: formatChunks(body),
    }),
  },
  'with status 204': {
    ...BODILESS,
    format: (id) => ({ head: formatHead('204 No Content', id), body: '' }),
  },
  'with status 304': {
    ...BODILESS,
    format: (id) => ({ head: formatHead('304 Not Modified', id), body: '' }),
  },
  'to HEAD': {
    ...BODILESS,
    method: 'HEAD',
    format: (id, { length }) => ({
      head: formatHead('200 OK', id, [`Content-Length: ${length}`]),
      body: '',
    }),
  },
  'to HEAD without a length': {
    ...BODILESS,
    method: 'HEAD',
    format: (id) => ({ head: formatHead('200 OK', id), body: '' }),
  },
};

/** What may happen at the gateway that has sent the request to the target. */
interface GatewayControl {
  /** Cancels the attempt, and sends the request to the other target. */
  cancel(): void;
  /** Ends a planned stop. */
  stop(): void;
}

/** A way in which an answer ends. */
interface Ending {
  readonly stalls?: boolean;
  /** Whether it breaks off a body. */
  readonly needsBody: boolean;
  /** What callers may get; `endsWithConnection` stands for answers that end with their connection. */
  readonly allowed: readonly Verdict[];
  readonly allowedUpToClose: readonly Verdict[];
  send(socket: Socket, answer: TargetBytes, gateway: GatewayControl): void;
}

function takePart({ head, body }: TargetBytes): string {
  return head + body.slice(0, Math.floor(body.length * SENT_SHARE));
}

const BROKEN: readonly Verdict[] = ['cut', 'failed'];
/** Its framing says that the answer is whole, so that what follows does not matter. */
const FRAMED: readonly Verdict[] = ['whole', ...BROKEN];

const WITHIN = { needsBody: true, allowed: BROKEN, allowedUpToClose: BROKEN };
const BEHIND = { needsBody: false, allowed: FRAMED, allowedUpToClose: BROKEN };
const IN_HEAD = { needsBody: false, allowed: BROKEN, allowedUpToClose: BROKEN };

function resetAfter(socket: Socket, ms: number): void {
  setTimeout(() => socket.resetAndDestroy(), ms);
}

/** Ways in which a target, or the gateway, ends an answer. */
const ENDINGS: Readonly<Record<string, Ending>> = {
  'that is whole': {
    needsBody: false,
    allowed: ['whole'],
    allowedUpToClose: ['whole'],
    send: (socket, { head, body }) => socket.end(head + body),
  },
  'that ends by FIN within its body': {
    ...WITHIN,
    // Nothing distinguishes it from the end of the body.
    allowedUpToClose: ['false'],
    send: (socket, answer) => socket.end(takePart(answer)),
  },
  'that is reset within its body': {
    ...WITHIN,
    send: (socket, answer) => socket.write(takePart(answer), () => socket.resetAndDestroy()),
  },
  'that is reset within its body after a pause': {
    ...WITHIN,
    send: (socket, answer) =>
      socket.write(takePart(answer), () => resetAfter(socket, LONG_PAUSE_MS)),
  },
  'that is reset with its last bytes': {
    ...BEHIND,
    send: (socket, answer) => {
      socket.write(takePart(answer));
      setTimeout(() => {
        socket.write((answer.head + answer.body).slice(takePart(answer).length));
        socket.resetAndDestroy();
      }, SHORT_PAUSE_MS);
    },
  },
  'that is reset just after its last byte': {
    ...BEHIND,
    send: (socket, { head, body }) =>
      socket.write(head + body, () => resetAfter(socket, SHORT_PAUSE_MS)),
  },
  'that is reset a while after its last byte': {
    ...BEHIND,
    send: (socket, { head, body }) =>
      socket.write(head + body, () => resetAfter(socket, LONG_PAUSE_MS)),
  },
  'that stalls until the deadline': {
    ...WITHIN,
    stalls: true,
    send: (socket, answer) => socket.write(takePart(answer)),
  },
  'in the middle of which a planned stop ends': {
    ...WITHIN,
    send: (socket, answer, gateway) =>
      socket.write(takePart(answer), () => setTimeout(() => gateway.stop(), LONG_PAUSE_MS)),
  },
  'whose attempt is cancelled': {
    needsBody: true,
    allowed: ['other'],
    allowedUpToClose: ['other'],
    send: (socket, { head, body }, gateway) => {
      socket.write(head + body.slice(0, 10));
      gateway.cancel();
      socket.end(body.slice(10));
    },
  },
  'that ends by FIN within its head': {
    ...IN_HEAD,
    send: (socket, { head }) => socket.end(head.slice(0, head.length / 2)),
  },
  'that is reset within its head': {
    ...IN_HEAD,
    send: (socket, { head }) =>
      socket.write(head.slice(0, head.length / 2), () => socket.resetAndDestroy()),
  },
  'that ends by FIN before the empty line of its head': {
    ...IN_HEAD,
    send: (socket, { head }) => socket.end(head.slice(0, -2)),
  },
  'that is reset before the empty line of its head': {
    ...IN_HEAD,
    send: (socket, { head }) => socket.write(head.slice(0, -2), () => socket.resetAndDestroy()),
  },
};

/** Ways of an answer through the gateway. */
const SIZES = {
  'a buffered answer': { bytes: SMALL_BYTES, hasMemory: true },
  'a large answer': { bytes: LARGE_BYTES, hasMemory: true },
  'a small answer without memory': { bytes: SMALL_BYTES, hasMemory: false },
} as const;

function judge({ status, body, looksComplete }: ReceivedAnswer, whole: string): Verdict {
  if (!looksComplete) return 'cut';
  if (status !== undefined && status >= 500) return 'failed';
  if (body === OTHER_BODY) return 'other';
  return body === whole ? 'whole' : 'false';
}

/** Sends one request through relays and returns what becomes of its answer. */
async function play(
  framing: Framing,
  ending: Ending,
  size: (typeof SIZES)[keyof typeof SIZES],
  isForwarded: boolean,
  httpVersion: '1.0' | '1.1',
): Promise<Verdict> {
  const id = 'r-1';
  const whole = repeatBody(size.bytes);
  const answer = framing.format(id, whole);
  let relay: AnswerRelay | undefined;
  const gateway = { cancel: () => relay?.cancel(id), stop: () => relay?.stop() };
  const first = await startTarget((socket) =>
    socket.once('data', () => ending.send(socket, answer, gateway)),
  );
  const { head, body } = FRAMINGS['with a length'].format(id, OTHER_BODY);
  const other = await startTarget((socket) => socket.once('data', () => socket.end(head + body)));
  const addresses = [first.address, other.address] as const;
  const options = {
    addresses,
    hasMemory: size.hasMemory,
    allowedMs: ending.stalls === true ? STALLED_MS : ALLOWED_MS,
  };
  relay = await AnswerRelay.start({ ...options, isForwarding: false });
  const front = isForwarded
    ? await AnswerRelay.start({
        ...options,
        isForwarding: true,
        addresses: [relay.address, relay.address],
      })
    : relay;
  const { method } = framing;
  const received = await receiveAnswer({ address: front.address, method, httpVersion, id });
  front.stop();
  relay.stop();
  first.server.close();
  other.server.close();
  return judge(received, framing.hasBody ? whole : '');
}

// Guards against an answer that looks complete to its caller and is not what its target has sent.
for (const [framingName, framing] of Object.entries(FRAMINGS)) {
  for (const [endingName, ending] of Object.entries(ENDINGS)) {
    if (ending.needsBody && !framing.hasBody) continue;
    const allowed = framing.endsWithConnection ? ending.allowedUpToClose : ending.allowed;
    test.serial(
      `an answer ${framingName} ${endingName} looks complete only if it is`,
      async (t) => {
        const rows = Object.entries(SIZES).flatMap(([sizeName, size]) =>
          [false, true].flatMap((isForwarded) =>
            (['1.0', '1.1'] as const).map(async (httpVersion) => {
              const verdict = await play(framing, ending, size, isForwarded, httpVersion);
              const way = isForwarded ? 'another VM' : 'a target';
              return { verdict, row: `${sizeName} from ${way}, HTTP/${httpVersion}: ${verdict}` };
            }),
          ),
        );
        const wrong = (await Promise.all(rows)).filter(({ verdict }) => !allowed.includes(verdict));
        t.deepEqual(
          wrong.map(({ row }) => row),
          [],
        );
      },
    );
  }
}
