import { readFileSync } from 'node:fs';

import test from 'ava';

import { parseGatewaySettings } from '../../config/index.js';

const TEXT = `[process]
vm = edge-1
zone = quai
region = saint-laurent
[listen]
callers = 10.1.0.18:8381
readiness = 10.1.0.18:8388
addresses = 10.1.0.18:8383
peers = 10.1.0.18:7200
metrics = 10.1.0.18:9464
[store]
address = 10.200.1.7:8384
[peers]
seeds = 10.1.0.18:8382,10.2.0.34:8382
[bounds]
retry-slack = 58
grace = 6s
`;

test('a settings file is parsed, with the addresses of its peers', (t) => {
  t.snapshot(parseGatewaySettings('node.ini', TEXT));
});

test('every problem is reported with its line and a fix', (t) => {
  const wrong = TEXT.replace('vm = edge-1', 'vn = edge-1')
    .replace('10.1.0.18:8388', 'localhost')
    .replace('grace = 6s', 'grace = 6');
  const err = t.throws(() => parseGatewaySettings('node.ini', wrong));
  t.snapshot(err?.message);
});

test('the template that the platform fills in has only known keys', (t) => {
  const template = readFileSync('deploy/gateway.ini', 'utf8');
  const filled = template
    .replaceAll(/^\{\{[#/].*\n/gm, '')
    .replaceAll('{{listen.front}}', '10.0.0.1:1')
    .replaceAll('{{listen.ready}}', '10.0.0.1:2')
    .replaceAll('{{listen.directory}}', '10.0.0.1:3')
    .replaceAll('{{platform_settings.address}}', '10.0.0.2:1')
    .replaceAll('{{ip}}', '10.0.0.1')
    .replaceAll('{{limits.link_mbps}}', '7.0')
    .replaceAll('{{limits.memory_mb}}', '350')
    .replaceAll('{{seeds}}', '')
    .replaceAll(
      /\{\{bounds\.(retry_window|quota_window|grace|ttl_max|config_apply|drain)\}\}/g,
      '5s',
    )
    .replaceAll('{{bounds.retry_budget_ratio}}', '0.2')
    .replaceAll('{{bounds.canary_share}}', '0.1')
    .replaceAll('{{internal_ports.0}}', '7200')
    .replaceAll(/\{\{bounds\.\w+\}\}/g, '7')
    .replaceAll(/\{\{\w+\}\}/g, 'some-name');
  const settings = parseGatewaySettings('gateway.ini', filled);
  t.is(settings.balancing.retries.slack, 7);
  t.is(settings.self.linkMbps, 7);
  t.is(settings.memoryMb, 350);
  t.is(settings.changeBoundMs, 5_000);
  t.deepEqual(settings.balancing.rollouts, { share: 0.1, slack: 7 });
  t.deepEqual(settings.balancing.quotas, { windowMs: 5_000, overage: 7, slack: 7 });
});

test('a bound that is divided among parts of a deployment may be a fraction', (t) => {
  // A platform that runs only a part of a deployment passes the same part of its bounds, which need not
  // be whole numbers. If only whole numbers were accepted, every process would exit at its start.
  const { balancing } = parseGatewaySettings(
    'node.ini',
    TEXT.replace('retry-slack = 58', 'retry-slack = 22.04\ncold-slack = 0.9\ntrial-slack = 5.6'),
  );
  t.is(balancing.retries.slack, 22.04);
});
