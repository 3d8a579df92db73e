/** One problem in a file that operators edit, and how to fix it. */
export interface ConfigProblem {
  readonly file: string;
  /** Line number, starting at 1; undefined if the problem concerns the whole file. */
  readonly line?: number;
  /** What is wrong, naming the offending value. */
  readonly message: string;
  /** How to fix it. */
  readonly fix: string;
}

/**
 * Formats a problem as one line of text that starts with `FILE:LINE`, which editors and terminals can
 * open.
 * @param problem - The problem.
 * @example
 * formatProblem({ file: 'zones.ini', line: 3, message: 'unknown key "stat"', fix: 'write "state"' });
 * // zones.ini:3: unknown key "stat"; write "state"
 */
export function formatProblem(problem: ConfigProblem): string {
  const place = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`;
  return `${place}: ${problem.message}; ${problem.fix}`;
}
