import type { Assignment } from '../core/index.js';
import { getStoredBytes } from './meters.js';
import type { IdleSpending } from './runIdleFleet.js';
import { runIdleFleet } from './runIdleFleet.js';
import { makeMember } from './sizedFleet.js';
import type { Slope, SlopeName } from './Slope.js';
import { measureSlope } from './Slope.js';

const MEMBER_COUNTS = [5, 10, 17, 34, 68] as const;
const TARGET_COUNTS = [8, 16, 32] as const;

/** Runs each size once, however many slopes are read off it. */
function createIdleRuns(): (members: number) => IdleSpending {
  const runs = new Map<number, IdleSpending>();
  return (members) => {
    const known = runs.get(members);
    if (known !== undefined) return known;
    const size = { members, services: 3, targetsPerService: 12, zones: 3 };
    const spending = runIdleFleet(size);
    runs.set(members, spending);
    return spending;
  };
}

function perMember(role: Slope['role'], what: string, unit: SlopeName['unit']): SlopeName {
  return { role, what, per: 'entry VMs', unit };
}

function makeAssignment(count: number): Assignment {
  const members = Array.from({ length: count }, (_, index) => makeMember(index, 7));
  return { epoch: 1_000, members, earlier: [], nonce: 'nonce' };
}

/** What membership, leases, peers and the store cost a fleet that nobody calls. */
export function measureFleet(): Slope[] {
  const run = createIdleRuns();
  return [
    measureSlope(
      perMember('store', 'writes of the whole fleet', 'calls/s'),
      MEMBER_COUNTS,
      (members) => run(members).storeWritesPerSecond,
    ),
    measureSlope(
      perMember('store', 'reads and watches of the whole fleet', 'calls/s'),
      MEMBER_COUNTS,
      (members) => run(members).storeReadsPerSecond,
    ),
    measureSlope(
      perMember('peerExchange', 'messages that one member sends', 'messages/s'),
      MEMBER_COUNTS,
      (members) => run(members).messagesPerSecond,
    ),
    measureSlope(
      perMember('peerExchange', 'bytes that one member sends', 'bytes/s'),
      MEMBER_COUNTS,
      (members) => run(members).bytesPerSecond,
    ),
    measureSlope(
      perMember('membership', 'the stored assignment, settled', 'bytes stored'),
      MEMBER_COUNTS,
      (members) => getStoredBytes(makeAssignment(members)),
    ),
    measureSlope(
      {
        role: 'measuring',
        what: 'probes of idle targets, whole fleet',
        per: 'targets',
        unit: 'calls/s',
      },
      TARGET_COUNTS,
      (targets) =>
        runIdleFleet({ members: 3, services: 1, targetsPerService: targets, zones: 3 })
          .probesPerSecond,
    ),
  ];
}
