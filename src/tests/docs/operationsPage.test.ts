import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import test from 'ava';

import type { KeySpec, SectionSpec } from '../../config/index.js';
import { GATEWAY_SETTINGS_KEYS } from '../../config/index.js';

const PAGE = readFileSync('docs/OPERATIONS.md', 'utf8');

function readSources(folder: string): string {
  return readdirSync(folder, { recursive: true })
    .filter((file) => String(file).endsWith('.ts'))
    .map((file) => readFileSync(join(folder, String(file)), 'utf8'))
    .join('\n');
}

/** Names of events that the code logs. */
function findEvents(): Set<string> {
  const sources = ['src/balancing', 'src/fleet', 'src/gateway', 'src/logging'].map(readSources).join('\n');
  const written = [...sources.matchAll(/\.write\('([a-zA-Z]+\.[a-zA-Z]+)'/g)].map(([, name]) => name);
  const union = /type BalancerLogEvent =\n((?: {2}\| '[\w.]+';?\n)+)/.exec(sources)?.[1] ?? '';
  const decided = [...union.matchAll(/'([\w.]+)'/g)].map(([, name]) => name);
  const own = [...sources.matchAll(/event: '(log\.\w+)'/g)].map(([, name]) => name);
  return new Set([...written, ...decided, ...own]);
}

test('the page names every event that is logged, and none besides', (t) => {
  const rows = [...PAGE.matchAll(/^\| `([a-zA-Z]+\.[a-zA-Z]+)` \|/gm)].map(([, name]) => name);
  t.true(rows.length > 30);
  t.deepEqual([...rows].sort(), [...findEvents()].sort());
});

test('the page names every metric', (t) => {
  const names = [...readSources('src/gateway').matchAll(/name: '(masticlink_\w+)'/g)].map(
    ([, name]) => name,
  );
  t.true(names.length > 3);
  for (const name of names) t.true(PAGE.includes(`| \`${name}\``), name);
});

test('the page has every key of the gateway’s settings as the checker has it', (t) => {
  const formatDefault = (spec: KeySpec<unknown>): string => {
    if (spec.required) return 'required';
    return spec.default === '' ? 'empty' : `\`${spec.default}\``;
  };
  for (const [section, keys] of Object.entries(GATEWAY_SETTINGS_KEYS)) {
    const part = PAGE.split(`### \`[${section}]\``)[1]?.split('### ')[0] ?? '';
    for (const [key, spec] of Object.entries(keys as SectionSpec)) {
      const row = `| \`${key}\` | ${formatDefault(spec)} | ${spec.type.expected} | ${spec.description} |`;
      t.true(part.includes(row), row);
    }
  }
});
