import test from 'ava';
import fc from 'fast-check';

import { MAX_ACTIVE_ISSUERS, PERMIT_TTL_MS, PermitIssuer } from '../../limits/index.js';

const TARGET = { target: 't-1', bornAt: 1 };
const VMS = 17;
const WINDOW_MS = 4_000;

// VMs may disagree on which VMs are up, and a permit may be used up to the end of its lifetime. The
// target receives the sum of what all issuers grant.
test('permits of the maximum number of active issuers stay within the bound in any four seconds', (t) => {
  const property = fc.property(
    fc.constantFrom(0.1, 0.4, 1.1, 1.3, 6, 20),
    fc.array(fc.record({ waitMs: fc.nat(150), isLate: fc.boolean() }), {
      minLength: 100,
      maxLength: 400,
    }),
    (perSecond, steps) => {
      const issuers = Array.from({ length: MAX_ACTIVE_ISSUERS }, () => new PermitIssuer());
      const used: number[] = [];
      let now = 0;
      for (const { waitMs, isLate } of steps) {
        now += waitMs;
        for (const issuer of issuers) {
          while (issuer.tryIssue(TARGET, perSecond, VMS, now).isGranted) {
            used.push(now + (isLate ? PERMIT_TTL_MS : 0));
          }
        }
      }
      const allowed = 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
      return used.every(
        (end) => used.filter((at) => at > end - WINDOW_MS && at <= end).length <= allowed,
      );
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 300 }));
});

test('three issuers together grant nearly the full limit', (t) => {
  for (const perSecond of [0.4, 1.3, 6, 20]) {
    const issuers = Array.from({ length: 3 }, () => new PermitIssuer());
    let granted = 0;
    for (let now = 0; now < 100_000; now += 20) {
      for (const issuer of issuers) {
        if (issuer.tryIssue(TARGET, perSecond, VMS, now).isGranted) granted += 1;
      }
    }
    t.true(granted > 0.95 * perSecond * 100 - 3, `${perSecond}: ${granted}`);
  }
});

test('waiting VMs are given spaced retry times, none more than four seconds away', (t) => {
  const issuer = new PermitIssuer();
  const waits = Array.from({ length: 40 }, () => issuer.tryIssue(TARGET, 1.3, VMS, 0).waitMs);
  t.snapshot(waits.filter((_, i) => i % 8 === 0));
});

test('a returned permit is issued again', (t) => {
  const issuer = new PermitIssuer();
  issuer.tryIssue(TARGET, 3, VMS, 0);
  t.true(issuer.tryIssue(TARGET, 3, VMS, 1_000).isGranted);
  t.false(issuer.tryIssue(TARGET, 3, VMS, 1_000).isGranted);
  issuer.reclaim(TARGET, 3, VMS, 1_000);
  t.true(issuer.tryIssue(TARGET, 3, VMS, 1_000).isGranted);
});
