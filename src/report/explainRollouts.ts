import type { LogLine } from './LogLine.js';
import { parseLogLine } from './LogLine.js';

type Fields = Readonly<Record<string, unknown>>;

/** Clocks of VMs differ, and so may the order of what they wrote; times are told as they were written. */
interface ToldLine {
  readonly time: string;
  readonly text: string;
}

function describeEvidence(fields: Fields): string {
  const { oldAnswers, oldBad, newAnswers, newBad, suspicion, route, vms, ageMs } = fields;
  const suspect = route === undefined ? '' : `, most on route ${String(route)}`;
  return (
    `${String(ageMs)} ms after the order, by reports of ${String(vms)} VMs: ` +
    `${String(newBad)} of ${String(newAnswers)} answers of new targets were bad, ` +
    `${String(oldBad)} of ${String(oldAnswers)} of old ones; suspicion ${String(suspicion)}${suspect}`
  );
}

const SENTENCES: Readonly<Record<string, (fields: Fields) => string>> = {
  'rollout.judged': (fields) =>
    `${String(fields.before)} → ${String(fields.phase)}, ${describeEvidence(fields)}`,
  'rollout.written': (fields) =>
    fields.isWritten === true
      ? `told the store: ${String(fields.state)}, ${describeEvidence(fields)}`
      : `did not tell the store ${String(fields.state)}: the order had changed`,
  'rollout.writeFailed': (fields) =>
    `could not tell the store ${String(fields.state)}: ${String(fields.message)}`,
};

/** When VMs began to deal requests out in one way. */
class StageSpan {
  /** @internal */
  private readonly vms = new Set<string>();

  /** @internal */
  private last: string;

  /** @param first - When the first VM did. */
  constructor(
    private readonly first: string,
    private readonly stage: string,
  ) {
    this.last = first;
  }

  note({ time, vm }: LogLine): void {
    this.vms.add(vm);
    this.last = time;
  }

  tell(): ToldLine {
    const { first, last, stage, vms } = this;
    return { time: first, text: `${first} ${vms.size} VMs went to ${stage}, the last at ${last}` };
  }
}

/**
 * Tells how rollouts went: which evidence decided, when VMs followed, and what the store was told.
 * @param texts - Log lines of any number of VMs.
 * @returns Lines of text; none if no line is about a rollout.
 * @example
 * explainRollouts(readFileSync('gateways.log', 'utf8').split('\n')).join('\n');
 */
export function explainRollouts(texts: Iterable<string>): string[] {
  const told = new Map<string, ToldLine[]>();
  const spans = new Map<string, Map<string, StageSpan>>();
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line === undefined || typeof line.fields.order !== 'string') continue;
    const { time, vm, event, fields } = line;
    const { order } = fields as { readonly order: string };
    const lines = told.get(order) ?? [];
    told.set(order, lines);
    const sentence = SENTENCES[event];
    if (sentence !== undefined) lines.push({ time, text: `${time} ${vm}: ${sentence(fields)}` });
    if (event !== 'rollout.stage') continue;
    const stage = String(fields.stage);
    const stages = spans.get(order) ?? new Map<string, StageSpan>();
    spans.set(order, stages);
    const span = stages.get(stage) ?? new StageSpan(time, stage);
    stages.set(stage, span);
    span.note(line);
  }
  return [...told].flatMap(([order, lines]) => {
    const stages = [...(spans.get(order)?.values() ?? [])].map((span) => span.tell());
    const sorted = [...lines, ...stages].sort((a, b) => (a.time < b.time ? -1 : 1));
    return [`rollout ${order}`, ...sorted.map(({ text }) => `  ${text}`)];
  });
}
