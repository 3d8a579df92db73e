import type { LogLine } from './LogLine.js';
import { parseLogLine } from './LogLine.js';

/** Lines around a request that bear on it are looked for so long before it, in milliseconds. */
const BEFORE_MS = 5_000;

/** Events that tell what a VM went by, and whose latest line before the request matters. */
const BELIEFS: ReadonlySet<string> = new Set([
  'config.adopted',
  'zones.out',
  'fleet.sourceLost',
  'fleet.following',
  'fleet.watching',
  'store.callFailed',
  'store.back',
  'process.started',
  'process.stopping',
]);

type Sentence = (fields: Readonly<Record<string, unknown>>) => string;

function say(value: unknown): string {
  return value === undefined || value === null ? 'unknown' : String(value);
}

/** Why a request ended as it did, by the reason in its last line. */
export const REASONS: Readonly<Record<string, string>> = {
  notConfigured: 'this VM knew no configuration yet',
  noRoute: 'no route of the configuration in force matches its host and path',
  stopping: 'the VM was in a planned stop and took no more requests',
  noTarget: 'no target of the service could be used',
  limited:
    'all targets that were up had named limits, and no request was left of what those allow just then',
  overloaded:
    'every target that was asked was full, slow or cold, and waiting would not have helped',
  rejected: 'targets rejected it, and the route or the retry budget allowed no further sending',
  rejectedWithRoom:
    'targets rejected it although they had free slots, and no further sending was allowed',
  targetFailed: 'a target may have run it, and its answer is lost',
  timedOut: 'its time was over while a target may have been at work on it',
};

function explainEnd({
  status,
  reason,
  tookMs,
  retryAfterMs,
  rounds,
  sinceFirstMs,
}: Readonly<Record<string, unknown>>): string {
  const why = REASONS[say(reason)] ?? say(reason);
  const back =
    retryAfterMs === undefined ? '' : `; the caller may come back after ${say(retryAfterMs)} ms`;
  const looks = rounds === undefined ? '' : `; ${say(rounds)} rounds of probes`;
  const first = sinceFirstMs === undefined ? '' : `; first asked ${say(sinceFirstMs)} ms before`;
  // What is refused before its route is known has no time of its own.
  const after = tookMs === undefined ? 'at once' : `after ${say(tookMs)} ms`;
  return `answered ${say(status)} ${after}: ${why}${looks}${first}${back}`;
}

const SENTENCES: Readonly<Record<string, Sentence>> = {
  'request.sent': (f) =>
    `sent to ${say(f.target)}: running ${say(f.running)}, waiting ${say(f.waiting)}, slowdown ` +
    `${say(f.slowdown)}, read ${say(f.readingAgeMs)} ms before; expected ${say(f.expectedMs)} ms${
      f.limitPerSecond === undefined ? '' : `; it takes ${say(f.limitPerSecond)} requests a second`
    }`,
  'target.limited': (f) => {
    const before = f.before === undefined ? '' : `, before ${say(f.before)}`;
    return `${say(f.target)} takes ${say(f.perSecond)} requests a second from all VMs together${before}`;
  },
  'target.unlimited': (f) => `${say(f.target)} names no limit any more, before ${say(f.before)}`,
  'attempt.failed': (f) =>
    `${say(f.target)} failed it after ${say(f.tookMs)} ms: ${say(f.end)}${
      f.status === undefined ? '' : ` with ${say(f.status)}`
    }`,
  'request.answered': (f) =>
    `answered ${say(f.status)} by ${say(f.target)} after ${say(f.tookMs)} ms ` +
    `(expected ${say(f.expectedMs)} ms)`,
  'request.refused': explainEnd,
  'request.failed': explainEnd,
  'request.callerLeft': (f) => `the caller left after ${say(f.tookMs)} ms`,
};

function write({ time, vm, event, fields }: LogLine): string {
  const sentence = SENTENCES[event];
  const text = sentence === undefined ? JSON.stringify(fields) : sentence(fields);
  return `${time} ${vm} ${event}: ${text}`;
}

/** A line about some targets with those alone that are asked for; undefined if it names none of them. */
function selectTargets(line: LogLine, ids: ReadonlySet<unknown>): LogLine | undefined {
  const { target, targets } = line.fields;
  if (!Array.isArray(targets)) return ids.has(target) ? line : undefined;
  const named = targets.filter((each) => ids.has(String(each).split(' ')[0]));
  return named.length === 0 ? undefined : { ...line, fields: { targets: named } };
}

/** Lines of one VM that bear on its request, in the order in which the VM wrote them. */
function explainAtVm(lines: readonly LogLine[], id: string): string[] {
  const first = lines.findIndex(({ fields }) => fields.id === id);
  const own = lines.filter(({ fields }) => fields.id === id);
  const targets = new Set(own.map(({ fields }) => fields.target).filter(Boolean));
  const startsAt = Date.parse(lines[first].time);
  const endsAt = Date.parse(own[own.length - 1].time);
  const beliefs = new Map<string, LogLine>();
  for (const line of lines.slice(0, first)) {
    // A process that starts knows nothing of what the one before it went by.
    if (line.event === 'process.started') beliefs.clear();
    if (!BELIEFS.has(line.event)) continue;
    beliefs.delete(line.event);
    beliefs.set(line.event, line);
  }
  const around = lines.flatMap((line) => {
    const at = Date.parse(line.time);
    const isNear = at >= startsAt - BEFORE_MS && at <= endsAt;
    if (!isNear || !line.event.startsWith('target.')) return [];
    return selectTargets(line, targets) ?? [];
  });
  return [
    ...[...beliefs.values()].map((line) => `  went by  ${write(line)}`),
    ...around.map((line) => `  target   ${write(line)}`),
    ...own.map((line) => `  request  ${write(line)}`),
  ];
}

/**
 * Explains what became of one request, from the log lines of all gateways. Lines of each VM keep
 * their order; those of different VMs are not ordered against each other, since clocks differ.
 * @param texts - Log lines, of any number of VMs, those of one VM in their order.
 * @param id - Id that the caller gave the request.
 * @returns Lines of text; none if no line names the request.
 * @example
 * explainRequest(readFileSync('gateways.log', 'utf8').split('\n'), '9c41d07be2a35f68');
 */
export function explainRequest(texts: Iterable<string>, id: string): string[] {
  const byVm = new Map<string, LogLine[]>();
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line === undefined) continue;
    const lines = byVm.get(line.vm) ?? [];
    lines.push(line);
    byVm.set(line.vm, lines);
  }
  const out: string[] = [];
  for (const [vm, lines] of byVm) {
    if (!lines.some(({ fields }) => fields.id === id)) continue;
    out.push(`request ${id} at ${vm}`, ...explainAtVm(lines, id));
  }
  return out;
}
