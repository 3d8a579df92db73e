import test from 'ava';

import { digestApiKey, KeyDirectory } from '../../organisations/index.js';
import { decodeRoutingTable } from '../../platform/decode.js';
import { keepApiKey, readKeyDigest, writeOrganisation } from '../../platform/index.js';

const SECRET = 'x42q492cqf75rjvz48wu';

function makeConfig(tenants: unknown, authExempt?: unknown): unknown {
  const rule = {
    target_latency: '600ms',
    match: { path_prefix: '/a/' },
    action: { service: 'a', timeout: '2s' },
    auth_exempt: authExempt,
  };
  return {
    version: 'r7',
    limits: { max_body_bytes: 1, header_timeout: '1s', idle_timeout: '1s' },
    listeners: [{ host: 'a.example', routing_rules: [rule] }],
    clusters: [],
    tenants,
  };
}

const ACME = { name: 'acme', api_keys: [SECRET, 'second', SECRET] };

test('organisations are decoded with digests in place of their keys', (t) => {
  const tenants = [
    { ...ACME, priority: 0, rate_per_s: 20, burst_size: 5 },
    { name: 'Ünal & Söhne', api_keys: [], priority: null, rate_per_s: 0, burst_size: 9 },
    { name: 'third', api_keys: ['third'], rate_per_s: 1.5 },
  ];
  const table = decodeRoutingTable(makeConfig(tenants, true));
  t.true(table.routes[0].isAuthExempt);
  t.deepEqual(table.organisations, [
    {
      name: 'acme',
      keyDigests: [digestApiKey(SECRET), digestApiKey('second')],
      priority: 0,
      quota: { ratePerSecond: 20, burst: 5 },
    },
    { name: 'Ünal & Söhne', keyDigests: [] },
    { name: 'third', keyDigests: [digestApiKey('third')], quota: { ratePerSecond: 1.5, burst: 0 } },
  ]);
  t.false(JSON.stringify(table).includes(SECRET));
});

test('without organisations, nothing in the table mentions them', (t) => {
  for (const tenants of [undefined, null, []]) {
    const table = decodeRoutingTable(makeConfig(tenants));
    t.false('organisations' in table);
    t.false('isAuthExempt' in table.routes[0]);
  }
});

const INVALID: Readonly<Record<string, readonly unknown[]>> = {
  'a list that is none': [{ acme: ACME }],
  'an entry that is text': [['acme']],
  'no name': [[{ api_keys: [SECRET] }]],
  'a name with a line break': [[{ ...ACME, name: 'acme\r\nX-Other: 1' }]],
  'a name that ends with a space': [[{ ...ACME, name: 'acme ' }]],
  'no keys': [[{ name: 'acme' }]],
  'keys that are no list': [[{ name: 'acme', api_keys: SECRET }]],
  'a key that is a number': [[{ name: 'acme', api_keys: [SECRET, 7] }]],
  'an empty key': [[{ name: 'acme', api_keys: [SECRET, ''] }]],
  'a priority that is text': [[{ ...ACME, priority: SECRET }]],
  'a negative rate': [[{ ...ACME, rate_per_s: -1 }]],
  'a burst that is text': [[{ ...ACME, rate_per_s: 1, burst_size: '5' }]],
  'the same name twice': [[ACME, { name: 'other', api_keys: [] }, { ...ACME, api_keys: [] }]],
  'a key of two organisations': [[ACME, { name: 'other', api_keys: ['x', SECRET] }]],
  'an exemption that is text': [[ACME], 'true'],
};

// An operator has to find the entry in a long list, and a log line must not tell the key.
test('a broken list of organisations is rejected with the place of the fault and without keys', (t) => {
  const messages = Object.entries(INVALID).map(([what, [tenants, authExempt]]) => {
    const err = t.throws(() => decodeRoutingTable(makeConfig(tenants, authExempt)), {
      name: 'DecodeError',
    });
    t.false(err?.message.includes(SECRET), what);
    return [what, err?.message];
  });
  t.snapshot(Object.fromEntries(messages));
});

test('the key is read in any letter case, and from repeated lines only if they agree', (t) => {
  const digest = digestApiKey(SECRET);
  t.is(readKeyDigest(['Host', 'a', 'x-MASTICLINK-credential', SECRET]), digest);
  const line = ['X-Masticlink-Credential', SECRET];
  t.is(readKeyDigest([...line, ...line]), digest);
  t.is(readKeyDigest([...line, 'X-Masticlink-Credential', 'other']), undefined);
  t.is(readKeyDigest(['X-Masticlink-Credential', '']), undefined);
  t.is(readKeyDigest(['Host', SECRET]), undefined);
  const text = Buffer.from('clé').toString('latin1');
  t.is(readKeyDigest(['X-Masticlink-Credential', text]), digestApiKey('clé'));
});

const FORGED = [
  'Host',
  'a',
  'x-masticlink-tenant-id',
  'victim',
  'X-MASTICLINK-TENANT-ID',
  'victim-2',
  'X_Masticlink_Tenant_Id',
  'victim-3',
  'X-Masticlink-Credential',
  SECRET,
  'x-masticlink-credential',
  SECRET,
];

// A target would serve the caller as another organisation, or could use the key itself.
test('a target gets the organisation once and never the key, whatever the caller sent', (t) => {
  t.deepEqual(writeOrganisation(FORGED, 'acme'), ['Host', 'a', 'X-Masticlink-Tenant-Id', 'acme']);
  t.deepEqual(writeOrganisation(FORGED, undefined), ['Host', 'a']);
  const [, sent] = writeOrganisation([], 'Ünal');
  t.is(Buffer.from(sent, 'latin1').toString(), 'Ünal');
});

// The other VM would refuse a valid key that a hop-by-hop rule has removed.
test('another VM gets the key as received, and no claim of an organisation', (t) => {
  t.deepEqual(keepApiKey(['Host', 'a'], FORGED), ['Host', 'a', ...FORGED.slice(8)]);
  t.deepEqual(keepApiKey(FORGED, FORGED), ['Host', 'a', ...FORGED.slice(8)]);
});

// A long list indexed for each changed route, or a removed key that stays valid.
test('the directory is rebuilt if and only if organisations changed', (t) => {
  const organisation = {
    name: 'acme',
    keyDigests: ['a', 'b'],
    quota: { ratePerSecond: 1, burst: 0 },
  };
  const directory = new KeyDirectory([organisation]);
  t.is(directory.update([structuredClone(organisation)]), directory);
  const changes = [
    { keyDigests: ['a'] },
    { keyDigests: ['a', 'c'] },
    { name: 'other' },
    { priority: 0 },
    { quota: { ratePerSecond: 2, burst: 0 } },
    { quota: undefined },
  ];
  for (const change of changes) {
    const changed = { ...organisation, ...change };
    t.is(directory.update([changed]).find('a'), changed);
  }
  t.is(directory.update([{ ...organisation, keyDigests: ['a'] }]).find('b'), undefined);
  t.false(directory.update(undefined).isRequired);
});
