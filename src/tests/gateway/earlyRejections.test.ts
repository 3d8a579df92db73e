import test from 'ava';

import type { AttemptResult } from '../../balancing/index.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import { classifyTargetHead, TargetRequest } from '../../gateway/TargetRequest.js';
import { SystemClock } from '../../timing/index.js';
import { formatResponse, startTarget, VALID_HEADERS } from './rawTarget.js';

/** More than the buffers between the gateway and a target hold. */
const LONG_BODY = Buffer.alloc(8_000_000, 'x');

/** Longer than the body of a rejection may take. */
const CLOSE_TIMEOUT_MS = 2_000;

// Guards against connections that stay in use for good, until none is left for requests.
test('a rejection by a target that does not read the body frees its connection', async (t) => {
  const { server, address } = await startTarget((socket) => {
    socket.once('data', () => {
      socket.pause();
      const headers = [VALID_HEADERS[0], 'X-Masticlink-Not-Executed: 1', 'Content-Length: 0'];
      socket.write(formatResponse('503 Service Unavailable', headers));
    });
  });
  const agent = new TargetAgent(4);
  t.teardown(() => {
    agent.destroy();
    server.close();
  });
  const end = await new Promise<AttemptResult>((resolve) => {
    const targetRequest: TargetRequest = new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address,
      method: 'POST',
      path: '/horaires/',
      headers: ['X-Masticlink-Request-Id', 'r-1', 'Content-Length', String(LONG_BODY.length)],
      body: LONG_BODY,
      callerRequestId: 'r-1',
      classifyHead: (head) => classifyTargetHead('r-1', head),
      onEnd: resolve,
    });
    t.truthy(targetRequest);
  });
  t.is(end.kind, 'rejected');
  await new Promise((resolve) => {
    setTimeout(resolve, CLOSE_TIMEOUT_MS);
  });
  t.deepEqual(Object.keys(agent.sockets), []);
});
