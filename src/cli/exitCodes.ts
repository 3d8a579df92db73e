/** Exit codes of the program; documented in `docs/OPERATORS.md`. */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The command was refused or failed. Nothing was changed unless the message says so. */
  failed: 1,
  /** The command line is invalid; nothing was executed. */
  usage: 2,
  /** It is unknown whether the change was accepted. */
  unknownOutcome: 3,
  /** The change was accepted, but is not in force on all entry VMs within the timeout. */
  notInForce: 4,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
