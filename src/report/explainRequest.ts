import type { LogLine } from './LogLine.js';
import { parseLogLine } from './LogLine.js';

/** Lines about a request's targets are included from this long before the request, in milliseconds. */
const CONTEXT_BEFORE_MS = 5_000;

/**
 * Events that describe the state of a VM, such as its configuration. The latest line of each before the
 * request is part of the explanation.
 */
const VM_STATE_EVENTS: ReadonlySet<string> = new Set([
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

/** Events that describe the state of one section of the store; the latest of each section counts. */
const SECTION_STATE_EVENTS: ReadonlySet<string> = new Set([
  'store.sectionRestored',
  'store.missingRemoved',
  'store.outdated',
]);

function formatValue(value: unknown): string {
  return value === undefined || value === null ? 'unknown' : String(value);
}

/** Returns what a line describes the state of; undefined if it describes no state of its VM. */
function getStateKey({ event, fields }: LogLine): string | undefined {
  if (SECTION_STATE_EVENTS.has(event)) return `${event} ${formatValue(fields.section)}`;
  return VM_STATE_EVENTS.has(event) ? event : undefined;
}

type FieldsFormatter = (fields: Readonly<Record<string, unknown>>) => string;

function formatNames(names: unknown): string {
  return Array.isArray(names) && names.length > 0 ? names.join(', ') : 'none';
}

/** Descriptions of the `reason` field in the last log line of a request. */
export const REASON_DESCRIPTIONS: Readonly<Record<string, string>> = {
  notConfigured: 'this VM had no configuration yet',
  noRoute: 'no route of the configuration in force matches its host and path',
  unknownKey: 'its API key is missing or belongs to no organisation of the configuration in force',
  stopping: 'the VM was stopping as planned and accepted no more requests',
  overQuota: 'its organisation had used up its quota',
  noTarget: 'no target of the service was usable',
  limited: 'all live targets advertised rate limits, and those allowed no further request',
  paused: 'all live targets wanted no requests from this VM for some time',
  crashesTargets: 'targets crashed whenever they ran it, and it was not sent again',
  overloaded:
    'every target that was probed was full, slow or cold, and waiting would not have helped',
  rejected: 'targets rejected it, and the route or the retry budget allowed no further attempt',
  rejectedWithRoom:
    'targets rejected it although they had free slots, and no further attempt was allowed',
  targetFailed: 'a target may have run it, and its answer was lost',
  timedOut: 'it timed out while a target may still have been running it',
};

/** Descriptions of the check that an answer has failed. */
const CHECK_DESCRIPTIONS: Readonly<Record<string, string>> = {
  otherId: 'it names another request',
  noId: 'it names no request',
  unsigned: 'it is a success without a signature',
  encoded: 'it is encoded',
  interimAnswers: 'too many interim answers came before it',
};

function describeSpoilt({ check, otherId }: Readonly<Record<string, unknown>>): string {
  if (check === undefined) return '';
  const why = CHECK_DESCRIPTIONS[formatValue(check)] ?? formatValue(check);
  return `; ${why}${otherId === undefined ? '' : ` (${formatValue(otherId)})`}`;
}

function describeEvidence({ evidence }: Readonly<Record<string, unknown>>): string {
  if (!Array.isArray(evidence) || evidence.length === 0) return '';
  return `; it has not run: ${evidence.join('; ')}`;
}

function describeEnd(fields: Readonly<Record<string, unknown>>): string {
  const { status, reason, tookMs, retryAfterMs, rounds, sinceFirstMs, crashed, organisation } =
    fields;
  const why = REASON_DESCRIPTIONS[formatValue(reason)] ?? formatValue(reason);
  const retryText =
    retryAfterMs === undefined
      ? ''
      : `; the caller may retry after ${formatValue(retryAfterMs)} ms`;
  const roundsText = rounds === undefined ? '' : `; ${formatValue(rounds)} rounds of probes`;
  const firstRequestText =
    sinceFirstMs === undefined ? '' : `; first tried ${formatValue(sinceFirstMs)} ms earlier`;
  const crashedText = crashed === undefined ? '' : ` (${formatNames(crashed)})`;
  const organisationText =
    organisation === undefined ? '' : ` (organisation ${formatValue(organisation)})`;
  // A request that is refused before its route is known has no `tookMs`.
  const durationText = tookMs === undefined ? 'at once' : `after ${formatValue(tookMs)} ms`;
  return `answered ${formatValue(status)} ${durationText}: ${why}${organisationText}${crashedText}${roundsText}${firstRequestText}${describeEvidence(fields)}${retryText}`;
}

function describeRetry(f: Readonly<Record<string, unknown>>): string {
  const slackText = f.vms === undefined ? 'without slack' : `as one of ${formatValue(f.vms)} VMs`;
  return (
    `${formatValue(f.retry)} by the retry budget of ${formatValue(f.service)}: this VM had ${formatValue(f.left)} left, ` +
    `after ${formatValue(f.retries)} for ${formatValue(f.requests)} requests, ${slackText}`
  );
}

const EVENT_FORMATTERS: Readonly<Record<string, FieldsFormatter>> = {
  'request.sent': (f) =>
    `sent to ${formatValue(f.target)}: running ${formatValue(f.running)}, waiting ${formatValue(f.waiting)}, slowdown ` +
    `${formatValue(f.slowdown)}, read ${formatValue(f.readingAgeMs)} ms before; expected ${formatValue(f.expectedMs)} ms${
      f.limitPerSecond === undefined
        ? ''
        : `; it takes ${formatValue(f.limitPerSecond)} requests a second`
    }`,
  'target.limited': (f) => {
    const before = f.before === undefined ? '' : `, before ${formatValue(f.before)}`;
    return `${formatValue(f.target)} accepts ${formatValue(f.perSecond)} requests per second from all VMs together${before}`;
  },
  'target.unlimited': (f) =>
    `${formatValue(f.target)} no longer advertises a limit, before ${formatValue(f.before)}`,
  'target.paused': (f) =>
    `${formatValue(f.target)} wants no requests from this VM for ${formatValue(f.forMs)} ms, by its ${formatValue(f.source)}`,
  'target.headerUnread': (f) =>
    `${formatValue(f.target)} states something by ${formatValue(f.header)}, which nothing reads`,
  'target.pauseUnreadable': (f) =>
    `${formatValue(f.target)} asked for a pause, but its length is no number of seconds`,
  'attempt.failed': (f) =>
    `${formatValue(f.target)} failed the attempt after ${formatValue(f.tookMs)} ms: ${formatValue(f.end)}${
      f.status === undefined ? '' : ` with ${formatValue(f.status)}`
    }${describeSpoilt(f)}`,
  'retry.granted': describeRetry,
  'retry.refused': describeRetry,
  'request.forwarded': (f) =>
    `passed on to ${formatValue(f.via)}, since this VM reaches no target of ${formatValue(f.service)}`,
  'forward.failed': (f) =>
    `${formatValue(f.via)} did not serve it, after ${formatValue(f.tookMs)} ms: ${formatValue(f.end)}${
      f.reason === undefined ? '' : ` (${formatValue(f.reason)})`
    }`,
  'request.answered': (f) =>
    f.via === undefined
      ? `answered ${formatValue(f.status)} by ${formatValue(f.target)} after ${formatValue(f.tookMs)} ms ` +
        `(expected ${formatValue(f.expectedMs)} ms)`
      : `answered ${formatValue(f.status)} through ${formatValue(f.via)} after ${formatValue(f.tookMs)} ms`,
  'request.refused': describeEnd,
  'request.failed': describeEnd,
  'store.sectionRestored': (f) =>
    `the store was restored from a copy; ${formatValue(f.section)} of epoch ${formatValue(f.epoch)} lacked ` +
    `${formatValue(f.missing)} objects, which were kept: ${formatNames(f.names)}`,
  'store.missingRemoved': (f) =>
    `${formatValue(f.removed)} objects of ${formatValue(f.section)} were not written again and removed: ${formatNames(
      f.names,
    )}`,
  'store.outdated': (f) =>
    `${formatValue(f.items)} objects of ${formatValue(f.section)} at epoch ${formatValue(f.epoch)}, revision ` +
    `${formatValue(f.revision)} were ignored, since epoch ${formatValue(f.knownEpoch)}, revision ` +
    `${formatValue(f.known)} was known`,
  'request.callerLeft': (f) => `the caller disconnected after ${formatValue(f.tookMs)} ms`,
};

function formatLine({ time, vm, event, fields }: LogLine): string {
  const format = EVENT_FORMATTERS[event];
  const text = format === undefined ? JSON.stringify(fields) : format(fields);
  return `${time} ${vm} ${event}: ${text}`;
}

/** Reduces a line to the given targets; undefined if it names none of them. */
function selectTargets(line: LogLine, ids: ReadonlySet<unknown>): LogLine | undefined {
  const { target, targets } = line.fields;
  if (!Array.isArray(targets)) return ids.has(target) ? line : undefined;
  const named = targets.filter((each) => ids.has(String(each).split(' ')[0]));
  return named.length === 0 ? undefined : { ...line, fields: { targets: named } };
}

/** Whether a line tells of a target's pause that lasts beyond a time, in Unix milliseconds. */
function isPausedBeyond({ time, event, fields }: LogLine, at: number): boolean {
  return event === 'target.paused' && Date.parse(time) + Number(fields.forMs) > at;
}

/** Explains a request from the lines of one VM: its state, the targets involved, and the request. */
function explainOnVm(lines: readonly LogLine[], id: string): string[] {
  const first = lines.findIndex(({ fields }) => fields.id === id);
  const requestLines = lines.filter(({ fields }) => fields.id === id);
  const targets = new Set(requestLines.map(({ fields }) => fields.target).filter(Boolean));
  // A request that was refused as `paused` was sent to none of the targets in question.
  const pausedServices = new Set(
    requestLines
      .filter(({ fields }) => fields.reason === 'paused')
      .map(({ fields }) => fields.service),
  );
  const startsAt = Date.parse(lines[first].time);
  const endsAt = Date.parse(requestLines[requestLines.length - 1].time);
  const stateLines = new Map<string, LogLine>();
  for (const line of lines.slice(0, first)) {
    // A new process does not know the state of the previous one.
    if (line.event === 'process.started') stateLines.clear();
    const key = getStateKey(line);
    if (key === undefined) continue;
    stateLines.delete(key);
    stateLines.set(key, line);
  }
  const targetLines = lines.flatMap((line) => {
    const at = Date.parse(line.time);
    if (at > endsAt || !line.event.startsWith('target.')) return [];
    const isPaused = isPausedBeyond(line, startsAt);
    if (isPaused && pausedServices.has(line.fields.service)) return line;
    if (at < startsAt - CONTEXT_BEFORE_MS && !isPaused) return [];
    return selectTargets(line, targets) ?? [];
  });
  return [
    ...[...stateLines.values()].map((line) => `  state    ${formatLine(line)}`),
    ...targetLines.map((line) => `  target   ${formatLine(line)}`),
    ...requestLines.map((line) => `  request  ${formatLine(line)}`),
  ];
}

/**
 * Explains how one request was handled, from the log lines of all gateways. Lines are grouped by VM and
 * not merged by time, since the clocks of VMs differ.
 * @param texts - Log lines of any number of VMs; the lines of each VM in the order they were written.
 * @param id - Id that the caller gave the request.
 * @returns Lines of text; empty if no line mentions the request.
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
    out.push(`request ${id} at ${vm}`, ...explainOnVm(lines, id));
  }
  return out;
}
