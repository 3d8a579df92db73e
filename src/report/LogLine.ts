/** One parsed line of a gateway's JSON log. */
export interface LogLine {
  /** Wall-clock time of the VM, in ISO 8601 format. */
  readonly time: string;
  readonly vm: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a log line; gives undefined if a gateway did not write it.
 * @param text - The line; text before its first brace, such as a host name, is ignored.
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
    // Logs also contain lines of other programs, and may start or end in the middle of a line.
    return undefined;
  }
}
