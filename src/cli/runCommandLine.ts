import { ConfigError } from '../config/index.js';
import { DemoError } from '../demo/index.js';
import { EntryError } from '../entry/index.js';
import { PublishError, UnknownOutcomeError } from '../publish/index.js';
import { ReportError } from '../report/index.js';

import type { Command } from './Command.js';
import type { CommandIo } from './CommandIo.js';
import { COMMANDS } from './commands/index.js';
import { CliError, UsageError } from './errors.js';
import type { ExitCode } from './exitCodes.js';
import { EXIT_CODES } from './exitCodes.js';
import { parseCommandLine } from './parseCommandLine.js';

/** Errors whose message is sufficient for an operator; others are bugs and printed with their stack. */
const EXPECTED_ERRORS = [ConfigError, PublishError, ReportError, DemoError, EntryError, CliError];

function printError(err: unknown, io: CommandIo): ExitCode {
  const error = err instanceof Error ? err : new Error(String(err));
  if (err instanceof UsageError) {
    io.err(`masticlink: ${error.message}`);
    io.err('Run "masticlink --help" or "masticlink COMMAND --help".');
    return EXIT_CODES.usage;
  }
  const isExpected = EXPECTED_ERRORS.some((known) => err instanceof known) || 'code' in error;
  io.err(`masticlink: ${isExpected ? error.message : (error.stack ?? error.message)}`);
  return err instanceof UnknownOutcomeError ? EXIT_CODES.unknownOutcome : EXIT_CODES.failed;
}

/**
 * Runs a command line and converts every error to a message and an exit code.
 * @param argv - Command line without the interpreter and the script.
 * @param io - Output and environment.
 * @param commands - Commands of the program.
 * @example
 * process.exitCode = await runCommandLine(['check', 'examples/makaa'], createProcessIo());
 */
export async function runCommandLine(
  argv: readonly string[],
  io: CommandIo,
  commands: readonly Command[] = COMMANDS,
): Promise<ExitCode> {
  try {
    const parsed = parseCommandLine(commands, argv);
    return parsed ? await parsed.command.run(parsed.args, io) : EXIT_CODES.ok;
  } catch (err) {
    return printError(err, io);
  }
}
