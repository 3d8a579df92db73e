import test from 'ava';

import {
  decodeRollout,
  decodeRoster,
  decodeRoutingTable,
  decodeTarget,
  encodeRolloutStatus,
} from '../../platform/decode.js';
import { readLoad } from '../../platform/readLoad.js';
import { readTargetHead, writeTargetHeaders } from '../../platform/index.js';

const ENTRY = {
  address: '10.128.0.9:8080',
  born: 1_779_580_388_019,
  info: { service: 'huvo11a', version: 'v1', zone: 'qc-east-a', max_concurrency: 2 },
  status: { state: 'ready', sequence: 4, warmup_left: '1.5s' },
};

const CONFIG = {
  version: 'r7',
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 67_108_864,
    header_timeout: '3000ms',
    idle_timeout: '15000ms',
  },
  base_version: 'r5',
  listeners: [
    {
      host: 'jepu9.example',
      routing_rules: [
        {
          name: 'r-1',
          kind: 'idempotent',
          target_latency: '600ms',
          priority: 2,
          match: { path_prefix: '/lepu270/' },
          action: {
            traffic_split: [
              { service: 'huvo11a', weight: 90 },
              { service: 'kafi81c', weight: 10 },
            ],
            timeout: '2000ms',
            max_attempts: 2,
          },
        },
        {
          name: 'r-2',
          kind: 'non_idempotent',
          target_latency: '800ms',
          priority: 1,
          match: { path_prefix: '/xapu221/ny95/' },
          action: { service: 'wuno96b', timeout: '2.5s', max_attempts: 1 },
        },
      ],
    },
  ],
  clusters: [
    {
      name: 'huvo11a',
      health_check_path: '/health',
      max_connections: 220,
      protocol: 'h1',
      tls: false,
      warmup: '3s',
      warmup_per_s: 2.1,
    },
  ],
};

test('a configuration is decoded into a routing table', (t) => {
  t.snapshot(decodeRoutingTable(CONFIG));
});

test('a target’s object is decoded into an entry', (t) => {
  t.snapshot(decodeTarget('i-7f3a91c2', ENTRY));
});

const INVALID_ENTRIES: Readonly<Record<string, unknown>> = {
  'no content': undefined,
  'a string as content': 'servers',
  'no address': { ...ENTRY, address: undefined },
  'an invalid address': { ...ENTRY, address: 'localhost' },
  'a number for a service': { ...ENTRY, info: { ...ENTRY.info, service: 7 } },
  'no zone': { ...ENTRY, info: { ...ENTRY.info, zone: undefined } },
  'no version': { ...ENTRY, info: { ...ENTRY.info, version: undefined } },
  'slots as a string': { ...ENTRY, info: { ...ENTRY.info, max_concurrency: '2' } },
  'no slots': { ...ENTRY, info: { ...ENTRY.info, max_concurrency: 0 } },
  'an unknown state': { ...ENTRY, status: { ...ENTRY.status, state: 'warm' } },
  'a sequence that is not a number': { ...ENTRY, status: { ...ENTRY.status, sequence: 'x' } },
  'a warm-up without a unit': { ...ENTRY, status: { ...ENTRY.status, warmup_left: '5' } },
  'a start time that is not an integer': { ...ENTRY, born: 1.5 },
  'a start time as a string': { ...ENTRY, born: '1779580388019' },
};

for (const [what, entry] of Object.entries(INVALID_ENTRIES)) {
  test(`an entry with ${what} is rejected`, (t) => {
    // Another writer may put objects among the targets. Requests sent to such an address would be
    // lost.
    t.throws(() => decodeTarget('i-1', entry), { name: 'DecodeError' });
  });
}

const UNREACHABLE_ADDRESSES = [
  '127.0.0.1:70000',
  `127.0.0.1:${'9'.repeat(40)}`,
  '127.0.0.1:0',
  '127.0.0.1:080',
  '127.0.0.1:-1',
  '127.0.0.1:8080 ',
  '127.0.0.1',
  '300.1.1.1:80',
  '010.1.1.1:80',
  '1.2.3:80',
  '0.0.0.0:80',
  '0.1.2.3:80',
  '224.0.0.1:80',
  '255.255.255.255:80',
  '[::1]:80',
];

for (const address of UNREACHABLE_ADDRESSES) {
  // Guards against addresses for which the HTTP client throws, or that reach another host.
  test(`an entry with the address ${address} is rejected`, (t) => {
    t.throws(() => decodeTarget('i-1', { ...ENTRY, address }), { name: 'DecodeError' });
  });
}

// Guards against addresses of hosts that the check rejects.
test('addresses of hosts are accepted to the last octet and port', (t) => {
  for (const address of ['127.0.0.1:1', '1.0.0.0:80', '223.255.255.255:65535']) {
    t.is(decodeTarget('i-1', { ...ENTRY, address }).address, address);
  }
});

// Guards against VMs that nobody finds, as another VM of their announcement has an unusable address.
test('VMs with unusable addresses are left out of an announcement', (t) => {
  const vm = { name: 'vm-1', zone: 'a', callers: '10.0.0.1:80', peers: '10.0.0.1:90', linkMbps: 9 };
  const odd = { ...vm, name: 'vm-2' };
  const vms = [{ ...odd, peers: '10.0.0.2:70000' }, vm, { ...odd, callers: '0.0.0.0:80' }, 7];
  const reasons: string[] = [];
  t.deepEqual(
    decodeRoster({ vms }, (reason) => reasons.push(reason)),
    { vms: [vm] },
  );
  t.is(reasons.length, 3);
});

test('a load report is parsed with its slowdown, and an invalid one is ignored', (t) => {
  t.deepEqual(readLoad('3,1,8,400', true, 5), {
    at: 5,
    running: 3,
    waiting: 1,
    slots: 8,
    slowdown: 4,
    isHealthy: true,
  });
  t.is(readLoad('3,1,8', true, 0)?.slowdown, 1);
  for (const text of ['', '1', 'a,b,c', '1,2,-3', '1,1,0', undefined]) {
    t.is(readLoad(text, true, 0), undefined, text);
  }
});

test('the headers of a target’s answer are parsed', (t) => {
  t.snapshot(
    readTargetHead(
      {
        'x-masticlink-request-id': '9c41',
        'x-masticlink-not-executed': '1',
        'x-masticlink-warmup-ms': '900',
        'x-masticlink-server-load': '1,0,2,100',
      },
      true,
      5,
    ),
  );
});

test('a caller cannot set the target or the deadline of a request to a target', (t) => {
  const headers = [
    'Host',
    'a',
    'x-masticlink-target-instance',
    'evil',
    'X-MASTICLINK-DEADLINE-MS',
    '9',
  ];
  t.deepEqual(writeTargetHeaders(headers, 't-1', 70, undefined), [
    'Host',
    'a',
    'X-Masticlink-Deadline-Ms',
    '70',
    'X-Masticlink-Target-Instance',
    't-1',
  ]);
});

test('a rollout is decoded; its state counts only if it is for the ordered version', (t) => {
  const spec = { service: 'huvo11a', target_version: 'v2', duration: '12s' };
  const metadata = { name: 'huvo11a', revision: 12, create_revision: 9 };
  t.snapshot(decodeRollout(metadata, spec, null, 1));
  const status = { state: 'rolled_back', target_version: 'v2' };
  t.is(decodeRollout(metadata, spec, status, 1).state, 'rolledBack');
  t.is(decodeRollout(metadata, { ...spec, target_version: 'v3' }, status, 1).state, undefined);
  t.throws(() => decodeRollout(metadata, { ...spec, duration: 12 }, null, 1));
  t.deepEqual(encodeRolloutStatus('v2', 'rolledBack'), status);
});
