import test from 'ava';

import type { MemoryReservation } from '../../gateway/BodyMemory.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';

const MB = 1024 * 1024;
const SMALL_BYTES = 64 * 1024;

function createMemory(memoryMb = 350): BodyMemory {
  return new BodyMemory(memoryMb, () => 0);
}

// Guards against bodies that together exceed the memory of the process.
test('reservations never exceed the limit, and large ones leave room for small ones', (t) => {
  const memory = createMemory();
  const granted = Array.from({ length: 20 }, () => memory.tryReserve(20 * MB)).filter(Boolean);
  t.true(memory.reservedBytes <= memory.largestBytes);
  t.is(granted.length, Math.floor(memory.largestBytes / (20 * MB)));
  let smallCount = 0;
  while (memory.tryReserve(SMALL_BYTES) !== undefined) smallCount += 1;
  t.true(smallCount > 100);
  t.true(memory.reservedBytes <= memory.limitBytes);
  t.true(memory.reservedBytes + SMALL_BYTES > memory.limitBytes);
  for (const reservation of granted) reservation?.release();
  t.is(memory.reservedBytes, smallCount * SMALL_BYTES);
});

// Guards against a body of unknown length that is taken for a small one for good.
test('a reservation that grows is large once it exceeds the size of small ones', (t) => {
  const memory = createMemory();
  const reservation = memory.tryReserve(0);
  let size = 0;
  while (reservation?.grow(SMALL_BYTES) === true) size += SMALL_BYTES;
  t.true(size <= memory.largestBytes && size + SMALL_BYTES > memory.largestBytes);
  reservation?.release();
  t.false(reservation?.grow(1));
  t.is(memory.reservedBytes, 0);
});

// Guards against a large body that smaller ones overtake for as long as they come.
test('bodies that wait are granted in their order, one that leaves lets the next one go on', (t) => {
  const memory = createMemory();
  const held = memory.tryReserve(memory.largestBytes);
  const order: string[] = [];
  const reservations: MemoryReservation[] = [];
  const wait = (name: string, bytes: number): (() => void) =>
    memory.wait(bytes, (reservation) => {
      order.push(name);
      reservations.push(reservation);
    });
  const leaveFirst = wait('first', memory.largestBytes);
  wait('second', 20 * MB);
  wait('third', 20 * MB);
  t.is(memory.tryReserve(100 * 1024), undefined);
  t.truthy(memory.tryReserve(1_024));
  leaveFirst();
  t.deepEqual(order, []);
  held?.release();
  t.deepEqual(order, ['second', 'third']);
  t.is(memory.reservedBytes, 40 * MB + 1_024);
});

// Guards against an estimate that lets every caller wait behind a queue that cannot be served.
test('the expected wait grows with what waits already', (t) => {
  const memory = createMemory();
  memory.tryReserve(memory.largestBytes);
  const aloneMs = memory.estimateWaitMs(20 * MB);
  memory.wait(20 * MB, () => {});
  t.is(memory.estimateWaitMs(20 * MB), 2 * aloneMs);
});

test('a process with little memory still serves small bodies', (t) => {
  const memory = createMemory(128);
  t.true(memory.limitBytes > 10 * MB && memory.limitBytes < 28 * MB);
});
