import test from 'ava';

import { getColdOwners } from '../../balancing/ColdAllowance.js';
import { countSharingVms, describeVms } from '../../gateway/describeVms.js';
import { TargetAgents } from '../../gateway/TargetAgents.js';

const VMS = Array.from({ length: 15 }, (_, i) => `vm-${i + 1}`);

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

// Each VM that adds itself to a short list owns all cold targets, which then get several times their limit.
test('a cold target has no more owners than intended while the store lists only a few of the VMs', (t) => {
  for (const listed of [VMS.slice(0, 2), VMS.slice(0, 5), VMS]) {
    const owners = VMS.filter((self) => {
      const { vms } = describeVms({ ...KNOWN, self, listed });
      return getColdOwners('t-1', vms).includes(self);
    });
    t.true(owners.length >= 1 && owners.length <= 3, `${owners.length} of ${listed.length} listed`);
  }
});

test('a VM that knows no other one takes itself for up', (t) => {
  t.deepEqual(describeVms({ ...KNOWN, listed: [] }).vms, ['vm-3']);
  t.deepEqual(describeVms({ ...KNOWN, listed: ['vm-1'], down: ['vm-1'] }).vms, ['vm-3']);
});

// Divided by a short list, the connections of all VMs together are several times what a target accepts.
test('a VM that the store does not list opens the fewest connections', (t) => {
  const agents = new TargetAgents();
  const connections = VMS.map((self) => {
    agents.limits = { maxConnections: 220, vms: countSharingVms(self, VMS.slice(0, 2)) };
    const to = { target: 't-1', bornAt: 1, address: '127.0.0.1:1' };
    return agents.getAgent(to).maxSockets;
  });
  t.deepEqual(connections, [88, 88, ...Array.from({ length: 13 }, () => 4)]);
  agents.destroy();
});
