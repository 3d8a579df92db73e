import test from 'ava';
import fc from 'fast-check';

import {
  decodeRollout,
  decodeRoster,
  decodeRoutingTable,
  decodeTarget,
} from '../../platform/decode.js';
import { readCallerHead, readStatements, readTargetHead } from '../../platform/index.js';
import { isSound, makeOdd } from './oddValues.js';

const TARGET = {
  id: 't-1',
  address: '10.0.0.1:80',
  born: 5,
  info: { service: 's', version: 'v1', zone: 'a', max_concurrency: 2 },
  status: { state: 'ready', sequence: 4, warmup_left: '1.5s' },
};

const RULE = {
  name: 'r-1',
  kind: 'idempotent',
  target_latency: '600ms',
  priority: 2,
  match: { path_prefix: '/a/' },
  action: { traffic_split: [{ service: 's', weight: 9 }], timeout: '2s', max_attempts: 2 },
};

const CONFIGURATION = {
  version: 'r7',
  listeners: [{ host: 'a.example', routing_rules: [RULE] }],
  clusters: [{ name: 's', health_check_path: '/h', max_connections: 9, warmup_per_s: 2 }],
  limits: { max_body_bytes: 9, header_timeout: '3s', idle_timeout: '9s' },
  tenants: [{ name: 't', api_keys: ['k'], priority: 1, rate_per_s: 2, burst_size: 3 }],
};

const ROSTER = {
  vms: [{ name: 'v', zone: 'a', callers: '10.0.0.1:80', peers: '10.0.0.1:90', linkMbps: 9 }],
};

const ROLLOUT = {
  spec: { service: 's', target_version: 'v2', duration: '9s' },
  status: { state: 'running', target_version: 'v2' },
};

interface Decoder {
  readonly sound: unknown;
  decode(value: unknown): unknown;
}

const DECODERS: Readonly<Record<string, Decoder>> = {
  target: {
    sound: TARGET,
    decode: (value) => decodeTarget((value as typeof TARGET | undefined)?.id ?? '', value),
  },
  configuration: { sound: CONFIGURATION, decode: decodeRoutingTable },
  announcement: { sound: ROSTER, decode: (value) => decodeRoster(value, () => {}) },
  rollout: {
    sound: ROLLOUT,
    decode: (value) => {
      const { spec, status } = Object(value) as Partial<typeof ROLLOUT>;
      return decodeRollout({ name: 'r', revision: 1 }, spec, status, 1);
    },
  },
};

for (const [name, { sound, decode }] of Object.entries(DECODERS)) {
  // Guards against entries that end the reading of all others, or are taken for sound ones.
  test(`an odd ${name} is either decoded into a sound value or rejected as unreadable`, (t) => {
    t.notThrows(() => decode(sound));
    fc.assert(
      fc.property(makeOdd(sound), (value) => {
        try {
          return isSound(decode(value));
        } catch (err) {
          return (err as Error).name === 'DecodeError';
        }
      }),
      { seed: 71, numRuns: 600 },
    );
    t.pass();
  });
}

const HEADER_NAMES = [
  'retry-after',
  'server-limit',
  'server-leaving',
  'x-masticlink-server-load',
  'x-masticlink-warmup-ms',
  'x-masticlink-deadline-ms',
  'x-masticlink-request-id',
];

const HEADER_VALUES = ['', '-1', '1e400', '9'.repeat(400), 'NaN', '1,1,1e400', '1,1,9,-5', '0x10'];

// Guards against figures of a target or a caller that no decision can be made with.
test('odd headers are read as finite figures of at least 0, or ignored', (t) => {
  const header = fc.constantFrom(...HEADER_VALUES, '__proto__', ','.repeat(9_000));
  const record = fc.record(Object.fromEntries(HEADER_NAMES.map((name) => [name, header])), {
    requiredKeys: [],
  });
  fc.assert(
    fc.property(record, fc.constantFrom(200, 429, 503), (headers, status) => {
      const head = readTargetHead(headers, true, 0);
      const caller = readCallerHead(headers);
      const statements = readStatements(headers, status);
      const figures = [head.coldMs, head.limit, caller.allowedMs, statements.pauseMs];
      const isPositive = figures.every((each) => typeof each !== 'number' || each >= 0);
      return isPositive && [head, caller, statements].every((each) => isSound(each));
    }),
    { seed: 71, numRuns: 400 },
  );
  t.pass();
});
