import test from 'ava';

import type { OrganisationObservations } from '../../soak/checkOrganisations.js';
import { checkOrganisations } from '../../soak/checkOrganisations.js';
import type { CallerRecord } from '../../soak/SoakCallers.js';
import { runSoak } from '../../soak/runSoak.js';

const QUOTA = { ratePerSecond: 2, burst: 1 };

const SEEN: OrganisationObservations = {
  organisations: [{ name: 'a' }, { name: 'b', quota: QUOTA }],
  keys: [
    { key: 'key-a', organisation: 'a', addedAt: 0 },
    { key: 'key-b', organisation: 'b', addedAt: 0 },
    { key: 'removed', organisation: 'a', addedAt: 0, removedAt: 10_000 },
  ],
  identities: [],
  disturbed: [],
};

const CALLER: CallerRecord = { id: 'r', isIdempotent: true, sentAt: 20_000, port: 1, status: 200 };

/** Checks one request that ran at a target which received the given headers. */
function check(
  caller: Partial<CallerRecord>,
  organisations: readonly string[],
  seen: Partial<OrganisationObservations> = {},
  apiKeys: readonly string[] = [],
): string[] {
  const record = { ...CALLER, endedAt: (caller.sentAt ?? CALLER.sentAt) + 30, ...caller };
  const identity = { organisations, apiKeys };
  return checkOrganisations(
    { ...SEEN, identities: [{ id: 'r', target: 't', identity }], ...seen },
    {
      callers: [record],
      runs: [{ id: 'r', target: 't', source: '127.0.0.11', at: record.sentAt + 5 }],
    },
  );
}

test('headers at targets and access are checked by the keys of that moment', (t) => {
  t.snapshot({
    sound: check({ apiKey: 'key-a' }, ['a']),
    exemptWithoutKey: check({ isExempt: true }, []),
    exemptWithKey: check({ isExempt: true, apiKey: 'key-a' }, ['a']),
    justRemoved: check({ apiKey: 'removed', sentAt: 12_000 }, ['a']),
    missing: check({ apiKey: 'key-a' }, []),
    wrong: check({ apiKey: 'key-a' }, ['b']),
    twice: check({ apiKey: 'key-a' }, ['a', 'a']),
    claimed: check({ isExempt: true }, ['a']),
    keyAtTarget: check({ apiKey: 'key-a' }, ['a'], {}, ['key-a']),
    notRecorded: check({ apiKey: 'key-a' }, ['a'], { identities: [] }),
    unknown: check({ apiKey: 'other' }, []),
    withoutKey: check({}, []),
    removed: check({ apiKey: 'removed' }, ['a']),
    refused: check({ apiKey: 'key-a', status: 401 }, ['a']),
  });
});

// Without the excuse a gateway that is cut off would fail the soak; with it for all keys none would.
test('gateways out of touch are excused for changed keys only', (t) => {
  const disturbed = [{ port: 1, source: '127.0.0.11', from: 12_000, until: 19_000 }];
  t.deepEqual(check({ apiKey: 'removed' }, ['a'], { disturbed }), []);
  t.is(check({ apiKey: 'removed', sentAt: 22_000 }, ['a'], { disturbed }).length, 1);
  t.is(check({ apiKey: 'other' }, [], { disturbed }).length, 1);
  const atOther = [{ ...disturbed[0], port: 2, source: '127.0.0.12' }];
  t.is(check({ apiKey: 'removed' }, ['a'], { disturbed: atOther }).length, 1);
});

// A quota counts requests that ran, by the time at which a gateway passed them on.
test('windows of an organisation are compared with its bound', (t) => {
  const ids = Array.from({ length: 33 }, (_, i) => `r-${i}`);
  const passOn = (count: number): string[] =>
    checkOrganisations(
      {
        ...SEEN,
        identities: ids.map((id) => ({
          id,
          target: 't',
          identity: { organisations: ['b'], apiKeys: [] },
        })),
      },
      {
        callers: ids.map((id) => ({ ...CALLER, id, apiKey: 'key-b', endedAt: 20_900 })),
        runs: ids.slice(0, count).map((id) => ({ id, target: 't', at: 29_000 })),
        arrivals: ids.map((id, i) => ({ id, at: 20_000 + i * 20 })),
      },
    );
  t.deepEqual(passOn(32), []);
  t.deepEqual(passOn(33), ['33 requests of b ran within 5 s, allowed are 32']);
});

test('keys, headers and quotas hold during other faults', async (t) => {
  t.timeout(90_000);
  const { broken } = await runSoak({ seed: 11_001, faultsMs: 8_000, hasOrganisations: true });
  t.deepEqual(broken, []);
});
