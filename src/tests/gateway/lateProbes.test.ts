import test from 'ava';

import type { ProbeResult } from '../../balancing/index.js';
import { TargetAgents } from '../../gateway/TargetAgents.js';
import { TargetProber } from '../../gateway/TargetProber.js';
import { SystemClock } from '../../timing/index.js';
import { waitUntil } from '../entry/fixtures.js';
import { formatResponse, startTarget } from './rawTarget.js';

const OWN_ANSWER = formatResponse('200 OK', [
  'X-Masticlink-Instance-Id: t-1',
  'X-Masticlink-Server-Load: 0,0,2,100',
  'Content-Length: 0',
]);
const LATE_REJECTION = formatResponse('503 Service Unavailable', [
  'X-Masticlink-Request-Id: r-0',
  'X-Masticlink-Not-Executed: 1',
  'Retry-After: 3',
  'Content-Length: 0',
]);

// The pause began when the request was rejected; it would be kept for longer than was asked for.
test('a late rejection in the place of an answer to a probe begins no pause', async (t) => {
  let probeCount = 0;
  const { server, address } = await startTarget((socket) =>
    socket.on('data', () => {
      probeCount += 1;
      socket.write(probeCount === 1 ? OWN_ANSWER : LATE_REJECTION + OWN_ANSWER);
    }),
  );
  const agents = new TargetAgents();
  const ends: ProbeResult[] = [];
  const prober = new TargetProber(agents, new SystemClock(), (_to, end) => ends.push(end));
  t.teardown(() => {
    agents.destroy();
    server.close();
  });
  for (const count of [1, 2]) {
    prober.probe({ target: 't-1', bornAt: 1, address }, '/health');
    await waitUntil(() => ends.length === count);
  }
  t.is(ends[0].kind, 'answered');
  t.is('pauseMs' in ends[1] ? ends[1].pauseMs : undefined, undefined);
});
