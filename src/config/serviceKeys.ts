import { optional, required, withDefault } from './keyTable.js';
import {
  duration,
  integer,
  METHODS,
  NAME,
  PATH,
  PATH_PREFIX,
  share,
  STATUSES,
} from './valueTypes.js';

/** Prefix of the names of sections that list the targets of a zone, one `VM = address` per line. */
export const TARGETS_PREFIX = 'targets.';

/** Sections and keys of a service file, `NAME.service.ini`. */
export const SERVICE_KEYS = {
  service: {
    name: required(NAME, 'Name that callers give in the Host header and that reports use.'),
    'path-prefix': optional(
      PATH_PREFIX,
      'Paths that mean this service where the Host header names none.',
    ),
    timeout: withDefault(
      duration({ min: 10, max: 600_000 }),
      '5s',
      'Longest a request may take if its caller names no deadline.',
    ),
    port: required(
      integer({ min: 1, max: 65_535 }),
      'Port of the targets that the VM list names, used where the file lists none.',
    ),
  },
  capacity: {
    slots: required(integer({ min: 1, max: 10_000 }), 'Requests that a warm target runs at once.'),
    'max-connections': required(
      integer({ min: 1, max: 100_000 }),
      'Connections that a target accepts.',
    ),
    'connection-cost': withDefault(
      duration({ min: 0, max: 10_000 }),
      '1ms',
      'Work that a new connection costs a target.',
    ),
  },
  probe: {
    path: withDefault(PATH, '/health', 'Path that a probe asks for.'),
    cost: withDefault(
      duration({ min: 0, max: 10_000 }),
      '1ms',
      'Slot time that a probe costs a target.',
    ),
    budget: withDefault(
      share({ min: 0, max: 5 }),
      '1%',
      'Share of a target’s slot time that probes may take, over the whole fleet.',
    ),
    idle: withDefault(
      duration({ min: 100, max: 3_600_000 }),
      '1s',
      'A target is probed only after this long without a request.',
    ),
  },
  repeat: {
    methods: withDefault(METHODS, 'GET, HEAD', 'Methods that are idempotent for this service.'),
    'refused-statuses': withDefault(
      STATUSES,
      '',
      'Statuses by which a target says that it did not run the request. Name a status only if the targets send it for nothing else: such a request may be sent again.',
    ),
    retries: withDefault(
      share({ min: 0, max: 100 }),
      '10%',
      'Retries as a share of the service’s requests.',
    ),
    hedges: withDefault(
      share({ min: 0, max: 20 }),
      '2%',
      'Hedges as a share of the repeatable requests; 0% turns them off.',
    ),
    'key-retention': withDefault(
      duration({ min: 60_000, max: 604_800_000 }),
      '24h',
      'How long a request key is remembered.',
    ),
  },
  queue: {
    'max-length': withDefault(
      integer({ min: 0, max: 100_000 }),
      '100',
      'Requests that may wait for a slot in one entry VM.',
    ),
    standing: withDefault(
      duration({ min: 1, max: 60_000 }),
      '50ms',
      'Once requests have waited this long for a while, some are refused.',
    ),
  },
  objective: {
    latency: required(
      duration({ min: 1, max: 600_000 }),
      'An answer within this time counts as good.',
    ),
    share: required(
      share({ min: 50, max: 99.999 }),
      'Share of the requests that are to be good, over 30 days.',
    ),
  },
} as const;
