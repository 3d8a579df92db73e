import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import type { AttemptResult } from '../../balancing/index.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import type { TargetAnswer } from '../../gateway/TargetRequest.js';
import { classifyTargetHead, TargetRequest } from '../../gateway/TargetRequest.js';
import { writeTargetHeaders } from '../../platform/index.js';
import { SystemClock } from '../../timing/index.js';

/** How a request ended. */
export interface Outcome {
  readonly end: AttemptResult;
  readonly answer: TargetAnswer | undefined;
}

interface SendOptions {
  /** By default `POST` with a body, otherwise `GET`. */
  readonly method?: string;
  readonly body?: Buffer;
  readonly agent?: TargetAgent;
}

/** Starts a target that handles each connection with `serve`; returns its server and address. */
export async function startTarget(
  serve: (socket: Socket) => void,
): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    serve(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** Sends one request to a target that handles each connection with `serve`. */
export async function sendRequest(
  serve: (socket: Socket, request: string) => void,
  {
    body,
    method = body === undefined ? 'GET' : 'POST',
    agent = new TargetAgent(4),
  }: SendOptions = {},
): Promise<Outcome> {
  const { server, address } = await startTarget((socket) =>
    socket.on('data', (data) => serve(socket, data.toString('latin1'))),
  );
  const outcome = await new Promise<Outcome>((resolve) => {
    const targetRequest: TargetRequest = new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address,
      method,
      path: '/horaires/',
      headers: writeTargetHeaders(
        ['Host', 'door.example', 'X-Masticlink-Request-Id', 'r-1'],
        't-1',
        5_000,
        body?.length,
      ),
      body,
      callerRequestId: 'r-1',
      classifyHead: (head) => classifyTargetHead('r-1', head),
      onEnd: (end) => resolve({ end, answer: targetRequest.answer }),
    });
  });
  agent.destroy();
  server.close();
  return outcome;
}

/** Headers of a sound answer to the request that `sendRequest` sends. */
export const VALID_HEADERS = [
  'X-Masticlink-Request-Id: r-1',
  'X-Masticlink-Response-Signature: 1.2.3',
  'X-Masticlink-Server-Load: 1,0,2,100',
];

/** Formats an answer with a body. */
export function formatResponse(status: string, headers: readonly string[], body = ''): string {
  return [`HTTP/1.1 ${status}`, ...headers, '', body].join('\r\n');
}
