import { required, withDefault } from './keyTable.js';
import {
  ADDRESS,
  ADDRESS_LIST,
  choice,
  decimal,
  duration,
  LISTEN_ADDRESS,
  VM_NAME,
} from './valueTypes.js';

const SECOND_MS = 1_000;
const DAY_MS = 86_400 * SECOND_MS;
const durationUpToOneDay = duration({ min: 0, max: DAY_MS });

/** Sections and keys of a gateway's settings file. */
export const GATEWAY_SETTINGS_KEYS = {
  process: {
    vm: required(VM_NAME, 'Name of the VM.'),
    zone: required(VM_NAME, 'Availability zone that the VM is in.'),
    region: required(VM_NAME, 'Region that the availability zone is in.'),
    'first-start': withDefault(
      choice(['true', 'false']),
      'false',
      'Whether all VMs start together for the first time.',
    ),
    'link-mbps': withDefault(
      decimal({ min: 0, max: 1_000_000 }),
      '1000',
      'Bandwidth of the VM’s network link, in Mbit/s; VMs with a weak one tell few others.',
    ),
    'memory-mb': withDefault(
      decimal({ min: 128, max: 1_048_576 }),
      '256',
      'Memory of the process, in megabytes; bodies of requests and answers take a part of it.',
    ),
  },
  listen: {
    callers: required(LISTEN_ADDRESS, 'Where callers connect.'),
    readiness: required(LISTEN_ADDRESS, 'Where the platform asks whether callers are taken.'),
    addresses: required(LISTEN_ADDRESS, 'Where callers ask which entry VMs to use.'),
    peers: required(LISTEN_ADDRESS, 'Where the other entry VMs connect, over TCP and UDP.'),
    metrics: required(LISTEN_ADDRESS, 'Where counters and histograms are read.'),
  },
  store: {
    address: required(ADDRESS, 'The platform’s object store.'),
  },
  peers: {
    seeds: withDefault(
      ADDRESS_LIST,
      '',
      'Addresses on other entry VMs, to ask while the store is away; only their IP numbers count.',
    ),
  },
  bounds: {
    'retry-ratio': withDefault(
      decimal({ min: 0, max: 1 }),
      '0.2',
      'Repeats per request and service.',
    ),
    'retry-window': withDefault(
      durationUpToOneDay,
      '10s',
      'Sliding window in which repeats are counted.',
    ),
    'retry-slack': withDefault(
      decimal({ min: 0, max: 1_000_000 }),
      '20',
      'Repeats in a window on top, all entry VMs together.',
    ),
    'cold-overage': withDefault(
      decimal({ min: 1, max: 100 }),
      '1.5',
      'Times the rate that a cold target bears which all entry VMs together may send.',
    ),
    'cold-slack': withDefault(
      decimal({ min: 0, max: 10_000 }),
      '5',
      'Requests on top to a cold target in any second.',
    ),
    'probes-per-second': withDefault(
      decimal({ min: 1, max: 10_000 }),
      '60',
      'Probes that one target may get in a second from all entry VMs together.',
    ),
    'trial-share': withDefault(
      decimal({ min: 0, max: 1 }),
      '0',
      'Share of a service’s requests that a bad version may get while it is rolled out; 0 where none is.',
    ),
    'trial-slack': withDefault(
      decimal({ min: 0, max: 1_000_000 }),
      '0',
      'Requests on top that a bad version may get.',
    ),
    'quota-window': withDefault(
      duration({ min: 100, max: DAY_MS }),
      '5s',
      'Sliding window in which the requests of an organisation are counted.',
    ),
    'quota-overage': withDefault(
      decimal({ min: 0, max: 100 }),
      '0.1',
      'Share of a window’s quota that an organisation may send on top, all entry VMs together.',
    ),
    'quota-slack': withDefault(
      decimal({ min: 0, max: 1_000_000 }),
      '20',
      'Requests of an organisation in a window on top, all entry VMs together.',
    ),
    'configuration-in-force': withDefault(
      duration({ min: 1_000, max: DAY_MS }),
      '2s',
      'Time in which a changed configuration has to be in force on all VMs.',
    ),
    'drain-in-force': withDefault(
      duration({ min: 1_000, max: DAY_MS }),
      '2s',
      'Time in which a target that has registered its shutdown must get no more requests.',
    ),
    grace: withDefault(durationUpToOneDay, '6s', 'Time from SIGTERM until the process is killed.'),
    'address-ttl-most': withDefault(
      durationUpToOneDay,
      '5s',
      'Longest that callers keep the addresses they are told.',
    ),
  },
};
