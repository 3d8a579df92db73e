import { REASONS } from './explainRequest.js';
import type { LogLine } from './LogLine.js';
import { parseLogLine } from './LogLine.js';

/** How a request ended for its caller. */
export type LossKind = 'inTime' | 'late' | 'refused' | 'failed' | 'left';

const KINDS: readonly LossKind[] = ['inTime', 'late', 'refused', 'failed', 'left'];

/** Why an answer was late; the first that fits, in this order. */
const LATE_REASONS: Readonly<Record<string, string>> = {
  cameBack: 'its caller had been refused before, and its objective was over',
  sentTwice: 'a first target failed it, was slow, or rejected it',
  waited: 'it waited for a target with room; sent at once it would have been in time',
  slowTarget: 'the target took half as long again as its load had said, or more',
  slowPlace: 'the best target that was found was expected to take so long',
};

/** From this part beyond what was expected on, a target counts as slow. */
const SLOW_FACTOR = 1.5;

const MS_PER_SECOND = 1_000;

interface Ended {
  readonly kind: LossKind;
  readonly second: number;
  readonly route: string;
  readonly reason: string;
  readonly tookMs: number;
}

interface Group {
  count: number;
  tookMs: number;
}

function getNumber(fields: LogLine['fields'], name: string): number {
  const value = fields[name];
  return typeof value === 'number' ? value : 0;
}

function getLateReason(fields: LogLine['fields']): string {
  const tookMs = getNumber(fields, 'tookMs');
  const targetMs = getNumber(fields, 'targetMs');
  const sinceFirstMs = getNumber(fields, 'sinceFirstMs');
  const objectiveMs = getNumber(fields, 'objectiveMs');
  if (sinceFirstMs > 0 && tookMs <= objectiveMs) return 'cameBack';
  if (getNumber(fields, 'sendings') > 1) return 'sentTwice';
  if (targetMs + sinceFirstMs <= objectiveMs) return 'waited';
  return targetMs >= SLOW_FACTOR * getNumber(fields, 'expectedMs') ? 'slowTarget' : 'slowPlace';
}

function judgeAnswer(fields: LogLine['fields']): Pick<Ended, 'kind' | 'reason'> {
  const status = getNumber(fields, 'status');
  if (status >= 500) return { kind: 'failed', reason: 'targetFailed' };
  const took = getNumber(fields, 'tookMs') + getNumber(fields, 'sinceFirstMs');
  if (took <= getNumber(fields, 'objectiveMs')) return { kind: 'inTime', reason: '' };
  return { kind: 'late', reason: getLateReason(fields) };
}

const JUDGES: Readonly<
  Record<string, (fields: LogLine['fields']) => Pick<Ended, 'kind' | 'reason'>>
> = {
  'request.answered': judgeAnswer,
  'request.refused': ({ reason }) => ({ kind: 'refused', reason: String(reason) }),
  'request.failed': ({ reason }) => ({ kind: 'failed', reason: String(reason) }),
  'request.callerLeft': () => ({ kind: 'left', reason: 'callerLeft' }),
};

function readEnded({ time, event, fields }: LogLine): Ended | undefined {
  const judge = Object.hasOwn(JUDGES, event) ? JUDGES[event] : undefined;
  if (judge === undefined) return undefined;
  return {
    ...judge(fields),
    second: Math.floor(Date.parse(time) / MS_PER_SECOND),
    route: typeof fields.route === 'string' ? fields.route : '-',
    tookMs: getNumber(fields, 'tookMs'),
  };
}

function groupBy(ended: readonly Ended[], getKey: (each: Ended) => string): Map<string, Group> {
  const groups = new Map<string, Group>();
  for (const each of ended) {
    const key = getKey(each);
    const group = groups.get(key) ?? { count: 0, tookMs: 0 };
    group.count += 1;
    group.tookMs += each.tookMs;
    groups.set(key, group);
  }
  return groups;
}

function sortByCount(groups: Map<string, Group>): [string, Group][] {
  return [...groups].sort(([, a], [, b]) => b.count - a.count);
}

function writeReasons(lost: readonly Ended[]): string[] {
  const groups = groupBy(lost, ({ kind, reason, route }) => `${kind} ${reason} ${route}`);
  return sortByCount(groups).map(([key, { count, tookMs }]) => {
    const [kind, reason, route] = key.split(' ');
    const why = LATE_REASONS[reason] ?? REASONS[reason] ?? 'the caller left before its answer';
    return (
      `${String(count).padStart(6)}  ${kind.padEnd(8)}${reason.padEnd(18)}${route.padEnd(14)}` +
      `${(tookMs / count).toFixed(0).padStart(6)}  ${why}`
    );
  });
}

function writeSeconds(ended: readonly Ended[]): string[] {
  const first = ended.reduce((least, { second }) => Math.min(least, second), Infinity);
  const seconds = new Map<number, Ended[]>();
  for (const each of ended) {
    const at = each.second - first;
    const all = seconds.get(at) ?? [];
    all.push(each);
    seconds.set(at, all);
  }
  return [...seconds]
    .sort(([a], [b]) => a - b)
    .map(([second, all]) => {
      const counts = KINDS.map((kind) => all.filter((each) => each.kind === kind).length);
      const lost = all.filter(({ kind }) => kind !== 'inTime');
      const [top] = sortByCount(groupBy(lost, ({ reason, route }) => `${reason} ${route}`));
      const cells = counts.map((count) => String(count).padStart(8)).join('');
      return `${String(second).padStart(6)}${cells}  ${top === undefined ? '' : `${top[0]} (${top[1].count})`}`;
    });
}

/**
 * Sums up how the requests of a log ended: how many in time, late, refused and failed, by reason and
 * route, and by second. A caller that comes back counts once for each of its tries.
 * @param texts - Log lines of any number of VMs.
 * @returns Lines of text; none if no request ended.
 * @example
 * summarizeLosses(readFileSync('gateways.log', 'utf8').split('\n'));
 */
export function summarizeLosses(texts: Iterable<string>): string[] {
  const ended: Ended[] = [];
  let leftOut = 0;
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line === undefined) continue;
    leftOut += getNumber(line.fields, 'leftOut');
    const end = readEnded(line);
    if (end !== undefined) ended.push(end);
  }
  if (ended.length === 0) return [];
  const lost = ended.filter(({ kind }) => kind !== 'inTime');
  const counts = KINDS.map(
    (kind) => `${ended.filter((each) => each.kind === kind).length} ${kind}`,
  );
  return [
    `${ended.length} tries: ${counts.join(', ')}; ${leftOut} lines left out of the log`,
    '',
    ' count  end     reason            route         ms, mean',
    ...writeReasons(lost),
    '',
    `second${KINDS.map((kind) => kind.padStart(8)).join('')}  most frequent reason and route`,
    ...writeSeconds(ended),
  ];
}
