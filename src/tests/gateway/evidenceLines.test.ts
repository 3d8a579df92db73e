import test from 'ava';

import { GatewayHarness } from './GatewayHarness.js';
import { formatResponse, startTarget } from './rawTarget.js';

const NO_BODY = 'Content-Length: 0';
const REJECTED = 'X-Masticlink-Not-Executed: 1';

/** Answers probes, and rejects requests with the answer that `reject` formats for their id. */
async function startRejectingTarget(
  reject: (id: string) => string,
): Promise<Awaited<ReturnType<typeof startTarget>>> {
  return startTarget((socket) =>
    socket.on('data', (data) => {
      const id = /X-Masticlink-Request-Id: (\S+)/i.exec(data.toString('latin1'))?.[1];
      const health = ['X-Masticlink-Instance-Id: t-1', 'X-Masticlink-Server-Load: 0,0,8,100'];
      socket.write(id === undefined ? formatResponse('200 OK', [...health, NO_BODY]) : reject(id));
    }),
  );
}

// Without it, a request that was refused and ran can't be traced to the statement that was believed.
test('the log states why a request that was sent and refused has not run', async (t) => {
  const { server, address } = await startRejectingTarget((id) =>
    formatResponse('503 Busy', [`X-Masticlink-Request-Id: ${id}`, REJECTED, NO_BODY]),
  );
  const harness = await GatewayHarness.start({ targetAddress: address });
  t.teardown(async () => {
    await harness.stop();
    server.close();
  });
  const caller = await harness.connect();
  caller.sendRequests('r-7');
  await harness.waitUntil(() => caller.statuses.length === 1);
  t.deepEqual(caller.statuses, [503]);
  const line = harness.logLines.find(({ event }) => event === 'request.refused');
  const { evidence = [] } = line as { readonly evidence?: readonly string[] };
  t.is(evidence.length, 1);
  t.regex(
    evidence[0],
    /^attempt=1 target=t-1 bornAt=1 end=rejected status=503 named=this tookMs=\d+ connection=(new|kept) requests=0 probes=\d+ ageMs=\d+ sentBytes=[1-9]\d*$/,
  );
});

// Without it, an answer that nobody can explain is only known not to have been believed.
test('the log states which check a spoilt answer has failed', async (t) => {
  const { server, address } = await startRejectingTarget(() =>
    formatResponse('503 Busy', [
      'X-Masticlink-Request-Id: r-0',
      'Connection: close',
      REJECTED,
      NO_BODY,
    ]),
  );
  const harness = await GatewayHarness.start({ targetAddress: address });
  t.teardown(async () => {
    await harness.stop();
    server.close();
  });
  const caller = await harness.connect();
  caller.sendRequests('r-7');
  await harness.waitUntil(() => caller.statuses.length === 1);
  t.deepEqual(caller.statuses, [502]);
  const line = harness.logLines.find(({ event }) => event === 'attempt.failed');
  t.like(line, { end: 'spoilt', check: 'otherId', status: 503, otherId: 'r-0' });
});
