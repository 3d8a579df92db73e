import test from 'ava';

import { mergeRosters } from '../../fleet/mergeRosters.js';

function makeVm(name: string, port = 80) {
  return {
    name,
    zone: 'quai',
    callers: `10.0.0.1:${port}`,
    peers: `10.0.0.1:${port + 10}`,
    linkMbps: 14,
  };
}

test('VMs that others announced are known', (t) => {
  const merged = mergeRosters(
    new Map([
      ['vm-1', { vms: [makeVm('vm-1'), makeVm('vm-2')] }],
      ['vm-3', { vms: [makeVm('vm-3'), makeVm('vm-2')] }],
    ]),
  );
  t.deepEqual([...merged.keys()].sort(), ['vm-1', 'vm-2', 'vm-3']);
});

test('the address that a VM announces itself takes precedence', (t) => {
  // A VM restarts at another address. The VM that announced it at first still lists the old one,
  // where callers would reach nobody.
  const merged = mergeRosters(
    new Map([
      ['vm-1', { vms: [makeVm('vm-1'), makeVm('vm-2', 80)] }],
      ['vm-2', { vms: [makeVm('vm-2', 81)] }],
    ]),
  );
  t.is(merged.get('vm-2')?.callers, '10.0.0.1:81');
});

test('a VM that has left is not known although another roster still lists it', (t) => {
  const merged = mergeRosters(
    new Map([
      ['vm-1', { vms: [makeVm('vm-1'), makeVm('vm-2')] }],
      ['vm-2', { vms: [] }],
    ]),
  );
  t.deepEqual([...merged.keys()], ['vm-1']);
});
