import type { LogLine } from './LogLine.js';
import { parseLogLine } from './LogLine.js';

type Fields = Readonly<Record<string, unknown>>;

/**
 * Line of the report with the time at which a VM logged it. The clocks of VMs differ, so that the order
 * of lines of different VMs is approximate.
 */
interface TimedText {
  readonly time: string;
  readonly text: string;
}

function describeEvidence(fields: Fields): string {
  const { oldAnswers, oldBad, newAnswers, newBad, suspicion, route, vms, ageMs } = fields;
  const suspect = route === undefined ? '' : `, most on route ${String(route)}`;
  return (
    `${String(ageMs)} ms after the order, from reports of ${String(vms)} VMs: ` +
    `${String(newBad)} of ${String(newAnswers)} answers of new targets were bad, ` +
    `${String(oldBad)} of ${String(oldAnswers)} of old ones; suspicion ${String(suspicion)}${suspect}`
  );
}

const EVENT_FORMATTERS: Readonly<Record<string, (fields: Fields) => string>> = {
  'rollout.judged': (fields) =>
    `${String(fields.before)} → ${String(fields.phase)}, ${describeEvidence(fields)}`,
  'rollout.written': (fields) =>
    fields.isWritten === true
      ? `wrote ${String(fields.state)} to the store, ${describeEvidence(fields)}`
      : `did not write ${String(fields.state)} to the store: the order had changed`,
  'rollout.writeFailed': (fields) =>
    `failed to write ${String(fields.state)} to the store: ${String(fields.message)}`,
};

/** Period in which the VMs entered one stage of a rollout. */
class StageSpan {
  /** @internal */
  private readonly vms = new Set<string>();

  /** @internal */
  private last: string;

  /**
   * @param first - Time at which the first VM entered the stage.
   * @param stage - Name of the stage.
   */
  constructor(
    private readonly first: string,
    private readonly stage: string,
  ) {
    this.last = first;
  }

  add({ time, vm }: LogLine): void {
    this.vms.add(vm);
    this.last = time;
  }

  toTimedText(): TimedText {
    const { first, last, stage, vms } = this;
    return { time: first, text: `${first} ${vms.size} VMs entered ${stage}, the last at ${last}` };
  }
}

/**
 * Explains how rollouts proceeded: the evidence behind each decision, when VMs entered each stage, and
 * which states were written to the store.
 * @param texts - Log lines of any number of VMs.
 * @returns Lines of text; empty if no line is about a rollout.
 * @example
 * explainRollouts(readFileSync('gateways.log', 'utf8').split('\n')).join('\n');
 */
export function explainRollouts(texts: Iterable<string>): string[] {
  const linesByOrder = new Map<string, TimedText[]>();
  const spans = new Map<string, Map<string, StageSpan>>();
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line === undefined || typeof line.fields.order !== 'string') continue;
    const { time, vm, event, fields } = line;
    const { order } = fields as { readonly order: string };
    const lines = linesByOrder.get(order) ?? [];
    linesByOrder.set(order, lines);
    const format = EVENT_FORMATTERS[event];
    if (format !== undefined) lines.push({ time, text: `${time} ${vm}: ${format(fields)}` });
    if (event !== 'rollout.stage') continue;
    const stage = String(fields.stage);
    const stages = spans.get(order) ?? new Map<string, StageSpan>();
    spans.set(order, stages);
    const span = stages.get(stage) ?? new StageSpan(time, stage);
    stages.set(stage, span);
    span.add(line);
  }
  return [...linesByOrder].flatMap(([order, lines]) => {
    const stages = [...(spans.get(order)?.values() ?? [])].map((span) => span.toTimedText());
    const sorted = [...lines, ...stages].sort((a, b) => (a.time < b.time ? -1 : 1));
    return [`rollout ${order}`, ...sorted.map(({ text }) => `  ${text}`)];
  });
}
