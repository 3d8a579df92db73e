import test from 'ava';

import { createFingerprint } from '../../gateway/createFingerprint.js';

const REQUEST = { method: 'GET', host: 'door.example', path: '/a?b=1', body: Buffer.from('x') };

// Sound requests with the same path would be refused for one that crashes targets.
test('requests that differ in method, host, path, query or body have different fingerprints', (t) => {
  const others = [
    { ...REQUEST, method: 'PUT' },
    { ...REQUEST, host: 'gate.example' },
    { ...REQUEST, path: '/a?b=2' },
    { ...REQUEST, body: Buffer.from('y') },
    { ...REQUEST, body: undefined },
  ];
  const fingerprints = [REQUEST, ...others].map(createFingerprint);
  t.is(new Set(fingerprints).size, fingerprints.length);
});

// Copies that are not recognised crash one target after the other.
test('copies of a request have the same fingerprint, however their host is spelled', (t) => {
  const copy = { ...REQUEST, host: 'Door.Example', body: Buffer.from('x') };
  t.is(createFingerprint(copy), createFingerprint(REQUEST));
});
