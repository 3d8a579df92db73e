import test from 'ava';
import { request } from 'undici';

import { getAttemptCount, startEntryWithTarget, startTestPlatform, waitUntil } from './fixtures.js';

test('an entry process passes a request to a target and relays the answer', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const { entry } = await startEntryWithTarget(platform);
  const { statusCode, headers, body } = await request(`http://${entry.address}/aujourdhui?x=1`, {
    headers: { host: 'horaires', 'x-request-id': 'r1', connection: 'x-mine', 'x-mine': 'dropped' },
  });
  t.is(statusCode, 200);
  t.deepEqual(await body.json(), {
    target: 'horaires/t0',
    uid: 'r1',
    request: 'GET /aujourdhui?x=1',
  });
  t.is(headers.via, '1.1 masticlink');
  t.is(headers['masticlink-load'], undefined);
  await waitUntil(() => getAttemptCount(entry) === 0);
  const metrics = await (await fetch(`http://${entry.address}/metrics`)).text();
  t.regex(metrics, /masticlink_request_duration_seconds_count\{service="horaires"\} 1/u);
  t.regex(
    metrics,
    /masticlink_request_duration_seconds_bucket\{le="\+Inf",service="horaires"\} 1/u,
  );
  t.regex(metrics, /masticlink_attempt_duration_seconds_count\{to="target"\} 1/u);
});

test('the process API serves addresses, health, readiness and metrics', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const { entry } = await startEntryWithTarget(platform);
  const get = async (path: string): Promise<{ status: number; text: string }> => {
    const answer = await fetch(`http://${entry.address}${path}`);
    return { status: answer.status, text: await answer.text() };
  };
  const addresses = await get('/v1/addresses?service=horaires');
  t.is(addresses.status, 200);
  t.is((JSON.parse(addresses.text) as { service: string }).service, 'horaires');
  t.is((await get('/v1/addresses?service=nowhere')).status, 404);
  t.is((await get('/v1/addresses')).status, 400);
  t.is((await get('/healthz')).status, 200);
  t.is((await get('/readyz')).status, 200);
  t.regex((await get('/metrics')).text, /masticlink_configuration_generation 1/u);
  t.is((await get('/v1/admin/fleet')).status, 401);
});
