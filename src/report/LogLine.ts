/** One line of a gateway's log. */
export interface LogLine {
  /** Wall clock of the VM, as an ISO date. */
  readonly time: string;
  readonly vm: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads a line of a log; undefined if it is none of a gateway's.
 * @param text - The line; what stands before its first brace is passed over.
 * @example
 * parseLogLine('{"time":"…","vm":"vm-1","event":"store.back"}')?.event; // 'store.back'
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { time, vm, event, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
    if (typeof time !== 'string' || typeof vm !== 'string' || typeof event !== 'string') {
      return undefined;
    }
    return { time, vm, event, fields };
  } catch {
    // Logs hold lines of other programs too, and may begin or end in the middle of a line.
    return undefined;
  }
}
