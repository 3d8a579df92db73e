import test from 'ava';

import { describeVms } from '../../gateway/describeVms.js';

const KNOWN = { self: 'vm-3', listed: ['vm-2', 'vm-1'], isPartial: false, down: [] };

// Counted by itself alone, a VM that is not listed would take a share beside those of all that are.
test('a VM that the store does not list is not among those that limits are shared by', (t) => {
  t.deepEqual(describeVms(KNOWN).announced, ['vm-1', 'vm-2']);
  t.deepEqual(describeVms({ ...KNOWN, self: 'vm-2' }).announced, ['vm-1', 'vm-2']);
});

test('a list without any VM tells nothing', (t) => {
  t.true(describeVms({ ...KNOWN, listed: [] }).isPartial);
  t.true(describeVms({ ...KNOWN, isPartial: true }).isPartial);
  t.false(describeVms(KNOWN).isPartial);
});

test('VMs that are down are announced and not up', (t) => {
  const event = describeVms({ ...KNOWN, self: 'vm-1', down: ['vm-2'] });
  t.deepEqual([event.vms, event.announced], [['vm-1'], ['vm-1', 'vm-2']]);
});
