/** Output and environment of a command. Results go to standard output, all else to standard error. */
export interface CommandIo {
  /** Writes a line of the result to standard output. */
  out(text: string): void;
  /** Writes a line that is not part of the result to standard error. */
  err(text: string): void;
  /** Shows the progress of a long operation; overwritten by the next text, omitted without a terminal. */
  progress(text: string): void;
  readonly isTerminal: boolean;
  readonly env: Readonly<Record<string, string | undefined>>;
}

const CLEAR_LINE = '\r\u001B[2K';

/** Creates a `CommandIo` for the streams and environment of this process. */
export function createProcessIo(): CommandIo {
  const isTerminal = process.stderr.isTTY === true;
  return {
    out: (text) => process.stdout.write(`${text}\n`),
    err: (text) => process.stderr.write(`${isTerminal ? CLEAR_LINE : ''}${text}\n`),
    progress(text) {
      if (isTerminal) process.stderr.write(`${CLEAR_LINE}${text}`);
    },
    isTerminal,
    env: process.env,
  };
}
