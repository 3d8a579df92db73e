import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';

import test from 'ava';

import type { ConfigProblem } from '../../config/index.js';
import {
  ConfigProblemsError,
  formatProblem,
  parseEntrySettings,
  parseServiceFile,
  parseZonesFile,
  readConfigurationDir,
  readEntrySettings,
} from '../../config/index.js';
import { DEFAULT_CORE_SETTINGS } from '../../core/index.js';
import { FLUSH_PERIOD_MS, getFlushPeriodMs } from '../../report/index.js';

const SERVICE = `[service]
name = NAME
path-prefix = /NAME
port = 8080
[capacity]
slots = 2
max-connections = 200
[objective]
latency = 100ms
share = 99%
[targets.a]
t1 = 10.0.0.PORT:80
`;

function makeService(name: string, host: number): string {
  return SERVICE.replaceAll('NAME', name).replace('PORT', String(host));
}

function withDir<T>(files: Record<string, string>, action: (dir: string) => T): T {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-config-'));
  try {
    for (const [name, text] of Object.entries(files)) {
      mkdirSync(dirname(join(dir, name)), { recursive: true });
      writeFileSync(join(dir, name), text);
    }
    return action(dir);
  } finally {
    rmSync(dir, { recursive: true });
  }
}

function getProblems(action: () => unknown): readonly ConfigProblem[] {
  try {
    action();
  } catch (err) {
    if (err instanceof ConfigProblemsError) return err.problems;
    throw err;
  }
  return [];
}

const ZONES = '[zone.a]\nregion = north\n[zone.b]\nregion = north\nstate = out\n';

test('every kind of problem in a service file is reported with line, value and fix', (t) => {
  const text = `stray = 1
[service]
name = Showtimes!
port = 80800
port = 8080
timeout = 5
pathprefix = /x
[capacity]
slots = two
[capacity]
no setting at all
[probe]
budget = 12%
[repeat]
methods = get
refused-statuses = 200
[objectives]
latency = 100ms
[objective]
share = 99.5
latency = 1h
[targets.a]
t1 = example.org:80
t2 = 10.0.0.1:80
[targets.b]
t2 = 10.0.0.1:80
`;
  t.snapshot(parseServiceFile('x.service.ini', text).ini.problems.map(formatProblem));
});

test('a zones file without zones, or with all zones out, is refused', (t) => {
  t.snapshot(
    ['', '[zone.a]\nregion = r\nstate = out\n', '[zone.A]\nstat = off\n[zones]\n'].map((text) =>
      parseZonesFile('zones.ini', text).ini.problems.map(formatProblem),
    ),
  );
});

test('settings are validated individually and in combination', (t) => {
  const good = `[process]
vm = vm1
zone = a
region = north
admin-token = 0123456789abcdef
[listen]
callers = 0.0.0.0:80
peers = 10.0.0.1:81
[platform]
store = http://10.0.0.5:7000/
vm-list = http://10.0.0.5:7001/vms
[fleet]
lease-duration = 1s
`;
  const changes: readonly [string, string][] = [
    ['', ''],
    ['lease-duration = 1s', 'lease-duration = 10m\nlease = 3s'],
    ['admin-token = 0123456789abcdef', 'admin-token = short'],
    ['http://10.0.0.5:7000/', 'ftp://10.0.0.5'],
    ['[platform]', '[platforms]'],
  ];
  t.snapshot(
    changes.map(([from, to]) =>
      getProblems(() => parseEntrySettings('m.ini', good.replace(from, to), 'n')).map(
        formatProblem,
      ),
    ),
  );
  const right = good.replace('0.0.0.0', '10.0.0.1').replace('duration = 1s', 'duration = 3s');
  t.like(parseEntrySettings('m.ini', right, 'n1').core, {
    self: { id: 'vm1#n1', zone: 'a', address: '10.0.0.1:80', peerAddress: '10.0.0.1:81' },
    leaseDurationMs: 3_000,
  });
});

test('omitted settings have the core’s defaults, minus the report’s share of the store budget', (t) => {
  const { self, region, ...core } = readEntrySettings('examples/entry.ini').core;
  t.regex(self.id, /^entry-1#[0-9a-f]{12}$/);
  t.is(region, 'saint-laurent');
  const { storeWritesPerSecond, storeReadsPerSecond } = DEFAULT_CORE_SETTINGS;
  t.deepEqual(core, {
    ...DEFAULT_CORE_SETTINGS,
    storeWritesPerSecond: storeWritesPerSecond * 0.9,
    storeReadsPerSecond: storeReadsPerSecond * 0.9,
  });
  t.is(getFlushPeriodMs(core), FLUSH_PERIOD_MS);
  t.is(getFlushPeriodMs({ ...core, maxEntryVms: 3_000 }), 200_000);
});

test('all conflicts between the files of a directory are reported at once', (t) => {
  const files = {
    'zones.ini': ZONES,
    'one/one.service.ini': makeService('one', 1),
    'two/two.service.ini': makeService('two', 1).replace('/two', '/one/more'),
    'three/again.service.ini': makeService('one', 3).replace('path-prefix = /one\n', ''),
    'four/four.service.ini': makeService('four', 4).replace('targets.a', 'targets.bb'),
    'five/five.service.ini': makeService('five', 5).replace('slots = 2', 'slots = 0'),
  };
  withDir(files, (dir) => {
    const problems = getProblems(() => readConfigurationDir(dir));
    t.snapshot(problems.map((problem) => formatProblem(problem).replaceAll(`${dir}/`, '')));
  });
});

test('a directory without zones or services is refused instead of published as empty', (t) => {
  withDir({ 'readme.txt': '' }, (dir) => {
    const problems = getProblems(() => readConfigurationDir(dir));
    t.snapshot(problems.map((problem) => formatProblem(problem).replaceAll(dir, 'DIR')));
  });
});

for (const [name, counts] of [
  ['maree-boreale', { horaires: 12, plongee: 6, billetterie: 10 }],
  ['makaa', { bei: 14, safari: 8, hesabu: 14 }],
] as const) {
  test(`the example ${name} is valid and has the specified numbers of targets`, (t) => {
    const { services } = readConfigurationDir(`examples/${name}`);
    t.deepEqual(
      Object.fromEntries(services.map((service) => [service.name, service.targets.length])),
      counts,
    );
  });
}
