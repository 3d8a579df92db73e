import { optional, required, withDefault } from './keyTable.js';
import {
  ADDRESS,
  choice,
  duration,
  HTTP_URL,
  integer,
  LISTEN_ADDRESS,
  NAME,
  size,
  TOKEN,
  VM_NAME,
} from './valueTypes.js';

const PROCESS_KEYS = {
  vm: required(VM_NAME, 'Name of the VM, as the VM list gives it.'),
  zone: required(NAME, 'Availability zone that the VM is in.'),
  region: required(NAME, 'Region that the availability zone is in.'),
  'admin-token': required(TOKEN, 'Token of the administration API, the same on every entry VM.'),
};

const LISTEN_KEYS = {
  callers: required(LISTEN_ADDRESS, 'Where callers connect.'),
  peers: required(LISTEN_ADDRESS, 'Where the other entry VMs connect.'),
  'advertise-callers': optional(
    ADDRESS,
    'Address that callers are told, if it is not the one listened on.',
  ),
  'advertise-peers': optional(
    ADDRESS,
    'Address that the other entry VMs are told, if it is not the one listened on.',
  ),
};

const PLATFORM_KEYS = {
  store: required(HTTP_URL, 'The platform’s object store.'),
  'store-timeout': withDefault(
    duration({ min: 10, max: 60_000 }),
    '500ms',
    'A call to the store that takes longer is given up; its outcome is then unknown.',
  ),
  'store-writes': withDefault(
    integer({ min: 10, max: 100_000 }),
    '300',
    'Writes a second for the whole fleet, a tenth of them for the report; each entry VM takes its share.',
  ),
  'store-reads': withDefault(
    integer({ min: 10, max: 1_000_000 }),
    '1000',
    'Reads a second for the whole fleet, each waiting watch counted as one.',
  ),
  'max-entry-vms': withDefault(
    integer({ min: 1, max: 100_000 }),
    '32',
    'Most entry VMs that may run at once; the store budget is shared by this number, so leave room for replacements.',
  ),
  'vm-list': required(HTTP_URL, 'The platform’s list of VMs.'),
  'vm-list-period': withDefault(
    duration({ min: 100, max: 600_000 }),
    '2s',
    'Time between two readings of the VM list.',
  ),
};

const FLEET_KEYS = {
  'partitions-per-zone': withDefault(
    integer({ min: 1, max: 4_096 }),
    '32',
    'Groups that each zone’s targets fall into; the same on every entry VM.',
  ),
  'lease-duration': withDefault(
    duration({ min: 500, max: 60_000 }),
    '1500ms',
    'How long a lease lasts; the same on every entry VM. Grows with large fleets.',
  ),
  'lease-renewal': withDefault(
    duration({ min: 100, max: 20_000 }),
    '500ms',
    'Time between two renewals; at most a third of the duration. Grows with large fleets.',
  ),
  'lease-margin': withDefault(
    duration({ min: 10, max: 5_000 }),
    '150ms',
    'Added to a lease’s end before another entry VM acts, for clocks that run at unlike rates.',
  ),
  freshness: withDefault(
    duration({ min: 500, max: 60_000 }),
    '2s',
    'Without word of the configuration for so long, an entry VM takes no new work.',
  ),
  'address-ttl': withDefault(
    duration({ min: 1_000, max: 300_000 }),
    '5s',
    'How long callers may keep an answer that names addresses.',
  ),
  'configuration-watchers': withDefault(
    integer({ min: 1, max: 1_000 }),
    '5',
    'Entry VMs that watch the configuration in the store; the others hear of it from them.',
  ),
  'key-partitions': withDefault(
    integer({ min: 1, max: 4_096 }),
    '16',
    'Objects in the store that request keys are spread over; the same on every entry VM.',
  ),
  'peer-delay': withDefault(
    duration({ min: 0, max: 1_000 }),
    '1ms',
    'Usual time from one entry VM to another.',
  ),
};

const LIMIT_KEYS = {
  headers: withDefault(
    size({ min: 1_024, max: 1_048_576 }),
    '16KB',
    'Largest head of a request; a larger one is answered 431.',
  ),
  body: withDefault(
    size({ min: 1_024, max: 1_073_741_824 }),
    '16MB',
    'Largest body of a request; a larger one is answered 413.',
  ),
  'replay-body': withDefault(
    size({ min: 0, max: 16_777_216 }),
    '64KB',
    'Bodies up to this size are kept so that a request can be sent again.',
  ),
  'stored-answer': withDefault(
    size({ min: 0, max: 262_144 }),
    '16KB',
    'Answers up to this size are kept under a request key.',
  ),
  connections: withDefault(
    integer({ min: 1, max: 1_000_000 }),
    '10000',
    'Connections from callers.',
  ),
};

const LOG_KEYS = {
  level: withDefault(
    choice(['debug', 'info', 'warn', 'error']),
    'info',
    'Least important lines that are written.',
  ),
  format: withDefault(
    choice(['auto', 'text', 'json']),
    'auto',
    'Form of the lines; auto is text on a terminal and JSON elsewhere.',
  ),
};

/** Sections and keys of an entry process's settings file. */
export const SETTINGS_KEYS = {
  process: PROCESS_KEYS,
  listen: LISTEN_KEYS,
  platform: PLATFORM_KEYS,
  fleet: FLEET_KEYS,
  limits: LIMIT_KEYS,
  log: LOG_KEYS,
} as const;
