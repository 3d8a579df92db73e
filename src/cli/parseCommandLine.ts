import sade from 'sade';

import { getNearest } from '../config/nearest.js';
import { VERSION } from '../core/index.js';

import { Arguments } from './Arguments.js';
import type { Command, OptionSpec } from './Command.js';
import { createUsageError } from './errors.js';

/** A command and its arguments. */
export interface ParsedCommandLine {
  readonly command: Command;
  readonly args: Arguments;
}

const PROGRAM = 'masticlink';

const BUILT_IN_FLAGS = new Set(['h', 'help', 'v', 'version']);

function suggest(name: string, known: readonly string[]): string {
  const nearest = getNearest(name, known);
  return nearest === undefined ? `known: ${known.join(', ')}` : `did you mean "${nearest}"?`;
}

function describe({ value, description }: OptionSpec): string {
  return value === undefined ? description : `${value}: ${description}`;
}

function createProgram(commands: readonly Command[]): sade.Sade {
  const program = sade(PROGRAM).version(VERSION);
  for (const { name, args, description, options, examples } of commands) {
    program.command([name, ...args.map((arg) => `<${arg}>`)].join(' '), description);
    for (const option of options) {
      const flag = `--${option.name}`;
      program.option(flag, describe(option), option.default);
    }
    for (const example of examples) program.example(example);
  }
  return program;
}

/** Gives the flags with a value, which mri must not convert to numbers, such as a token of digits. */
function getStringFlags(command: Command): string[] {
  return command.options.filter(({ value }) => value !== undefined).map(({ name }) => name);
}

/**
 * Rejects unknown flags. The library would exit with code 1, but the exit code for an invalid command
 * line is 2.
 */
function checkFlags(command: Command, rest: readonly string[]): void {
  const known = command.options.map(({ name }) => name);
  for (const part of rest) {
    if (part === '--') return;
    const flag = /^--?([^=]+)/.exec(part)?.[1];
    if (flag === undefined || BUILT_IN_FLAGS.has(flag) || known.includes(flag)) continue;
    throw createUsageError(`${command.name}: unknown flag "${part}"; ${suggest(flag, known)}`);
  }
}

/** Rejects a wrong number of positional arguments. */
function checkPositional(command: Command, rest: readonly string[]): void {
  const withValue = new Set(getStringFlags(command));
  let count = 0;
  for (let i = 0; i < rest.length; i += 1) {
    const flag = /^--?(.+)/.exec(rest[i])?.[1];
    if (flag === undefined) count += 1;
    else if (withValue.has(flag)) i += 1;
  }
  if (count === command.args.length) return;
  const wanted = command.args.length === 0 ? 'none' : command.args.join(', ');
  throw createUsageError(`${command.name}: ${count} arguments given, expected: ${wanted}`);
}

function findCommand(commands: readonly Command[], name: string | undefined): Command | undefined {
  const names = commands.map((command) => command.name);
  if (name === undefined) throw createUsageError(`no command; known: ${names.join(', ')}`);
  if (name.startsWith('-')) {
    const isBuiltIn = BUILT_IN_FLAGS.has(name.replace(/^--?/, ''));
    if (!isBuiltIn) throw createUsageError(`unknown flag "${name}"; known: --help, --version`);
    return undefined;
  }
  const command = commands.find((known) => known.name === name);
  if (!command) throw createUsageError(`unknown command "${name}"; ${suggest(name, names)}`);
  return command;
}

/**
 * Parses a command line; prints help and version itself.
 * @param commands - Commands of the program.
 * @param argv - Command line without the interpreter and the script.
 * @returns Undefined if help or the version was printed.
 * @throws UsageError if the command line is invalid.
 */
export function parseCommandLine(
  commands: readonly Command[],
  argv: readonly string[],
): ParsedCommandLine | undefined {
  const command = findCommand(commands, argv[0]);
  const rest = argv.slice(1);
  if (command?.hasCustomFlags) return { command, args: new Arguments([], {}, rest) };
  if (command) checkFlags(command, rest);
  const isHelpOrVersion = argv.some((part) => ['-h', '--help', '-v', '--version'].includes(part));
  if (command && !isHelpOrVersion) checkPositional(command, rest);
  const parsed = createProgram(commands).parse(['node', PROGRAM, ...argv], {
    lazy: true,
    string: command ? getStringFlags(command) : [],
  }) as sade.LazyOutput | undefined;
  if (!command || !parsed) return undefined;
  const flags = parsed.args.at(-1) as unknown as Record<string, unknown>;
  const positional = (parsed.args as unknown[]).slice(0, -1).map(String);
  return { command, args: new Arguments(positional, flags, rest) };
}
