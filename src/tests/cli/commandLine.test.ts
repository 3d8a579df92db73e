import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import type { CommandIo } from '../../cli/CommandIo.js';
import { DumpedStore } from '../../cli/DumpedStore.js';
import { LiveTable } from '../../cli/LiveTable.js';
import { runCommandLine } from '../../cli/runCommandLine.js';
import { startStoreServer } from '../../standIns/http/index.js';

interface Run {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

async function run(argv: readonly string[], env: Record<string, string> = {}): Promise<Run> {
  const out: string[] = [];
  const err: string[] = [];
  const io: CommandIo = {
    out: (text) => out.push(text),
    err: (text) => err.push(text),
    progress() {},
    isTerminal: false,
    env,
  };
  const code = await runCommandLine(argv, io);
  return { code, out: out.join('\n'), err: err.join('\n') };
}

test('an invalid command line has its own exit code and lists what is expected', async (t) => {
  const lines = [
    [],
    ['chekc', 'x'],
    ['--hlp'],
    ['check'],
    ['check', 'a', 'b'],
    ['check', 'a', '--jsn'],
    ['publish', 'x', '--store', 'nowhere'],
    ['publish', 'x', '--store', 'http://127.0.0.1:1', '--base', 'seven'],
    ['publish', 'x', '--store', 'http://127.0.0.1:1', '--wait'],
    ['entry'],
    ['stand-in', 'shop'],
    ['stand-in', 'store', '--listen', 'localhost:1'],
  ];
  const results = [];
  for (const argv of lines) {
    const { code, err } = await run(argv);
    results.push(`${code} ${err.split('\n')[0]}`);
  }
  t.snapshot(results);
});

test('check reports its result as text and as JSON', async (t) => {
  t.like(await run(['check', 'examples/makaa']), {
    code: 0,
    out: 'examples/makaa is valid: 4 zones, 3 services, 36 targets.',
  });
  const bad = mkdtempSync(join(tmpdir(), 'masticlink-cli-'));
  try {
    writeFileSync(join(bad, 'zones.ini'), '[zone.a]\nregion = r\nstat = in\n');
    writeFileSync(join(bad, 'x.service.ini'), '');
    const text = await run(['check', bad]);
    t.is(text.code, 1);
    t.regex(text.err, /zones\.ini:3: unknown key "stat" in \[zone\.a\]; did you mean "state"\?/);
    const json = await run(['check', bad, '--json']);
    t.is(json.code, 1);
    const { ok, problems } = JSON.parse(json.out) as { ok: boolean; problems: { line: number }[] };
    t.false(ok);
    t.is(problems[0].line, 3);
  } finally {
    rmSync(bad, { recursive: true });
  }
});

test('publish records its base in the directory and refuses an outdated base', async (t) => {
  // Two operators have copies of the same directory. The second one to publish has not seen the first
  // one's changes and must not revert them.
  const store = await startStoreServer();
  const root = mkdtempSync(join(tmpdir(), 'masticlink-cli-'));
  const env = { MASTICLINK_STORE: `http://${store.address}` };
  try {
    const [one, two] = ['one', 'two'].map((name) => join(root, name));
    cpSync('examples/makaa', one, { recursive: true });
    t.is((await run(['publish', one], env)).code, 0);
    cpSync(one, two, { recursive: true });
    const file = 'services/bei/bei.service.ini';
    const changed = readFileSync(join(one, file), 'utf8').replace('100ms', '80ms');
    writeFileSync(join(one, file), changed);
    const first = await run(['publish', one, '--json'], env);
    t.like(JSON.parse(first.out), { generation: 2, changes: ['service bei changes'] });
    const zones = readFileSync(join(two, 'zones.ini'), 'utf8').replace('= in', '= out');
    writeFileSync(join(two, 'zones.ini'), zones);
    const late = await run(['publish', two], env);
    t.is(late.code, 1);
    t.regex(late.err, /generation 2 is in force, you started from 1; changed since: bei\. Take/);
    writeFileSync(join(two, file), changed);
    t.like(await run(['publish', two, '--plan'], env), { code: 0, out: 'zone kariakoo goes out' });
    t.is((await run(['publish', two, '--base', '2'], env)).code, 0);
    const status = JSON.parse((await run(['status', '--json'], env)).out) as object;
    t.like(status, { generation: 3, services: ['bei', 'hesabu', 'safari'], entryVms: [] });
  } finally {
    await store.stop();
    rmSync(root, { recursive: true });
  }
});

test('a table on a terminal is erased before a line is written above it', (t) => {
  const written: string[] = [];
  const io: CommandIo = {
    out: (text) => written.push(text),
    err: (text) => written.push(text),
    progress: (text) => written.push(text),
    isTerminal: true,
    env: {},
  };
  const table = new LiveTable(io);
  table.printLine('begins');
  table.show([['a'], ['1']]);
  table.printLine('a target slows down');
  table.clear();
  table.clear();
  const up = '\u001B[2A\u001B[0J';
  t.deepEqual(written, ['begins', 'a\n1\n', up, 'a target slows down', 'a\n1\n', up]);
});

test('burn reads the dump of a demo and rejects other files', async (t) => {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-cli-'));
  try {
    const file = join(dir, 'dump.json');
    const at = Date.parse('2026-03-05T10:30:30Z');
    DumpedStore.write(file, [], at);
    t.like(await run(['burn', '--dump', file]), {
      code: 1,
      err: 'masticlink: no configuration was published yet; publish one first',
    });
    const root = { generation: 4, zones: [], services: {}, nonce: 'n' };
    DumpedStore.write(file, [{ key: 'config/root', version: 1, value: root }], at);
    const json = await run(['burn', '--dump', file, '--json', '--html', join(dir, 'b.html')]);
    t.deepEqual(JSON.parse(json.out), {
      at: '2026-03-05T10:30:30.000Z',
      generation: 4,
      services: [],
    });
    t.regex(readFileSync(join(dir, 'b.html'), 'utf8'), /^<!doctype html>/);
    writeFileSync(file, '[]');
    t.like(await run(['burn', '--dump', file]), {
      code: 1,
      err: `masticlink: ${file}: is not a dump; create one with "demo --dump FILE"`,
    });
  } finally {
    rmSync(dir, { recursive: true });
  }
});
