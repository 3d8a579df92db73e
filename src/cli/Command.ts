import type { Arguments } from './Arguments.js';
import type { CommandIo } from './CommandIo.js';
import type { ExitCode } from './exitCodes.js';

/** Specification of one flag of a command. */
export interface OptionSpec {
  /** Name without hyphens. */
  readonly name: string;
  /** Placeholder of the value in the help; a flag without a placeholder is a switch. */
  readonly value?: string;
  readonly description: string;
  readonly default?: string | number;
}

/** One command of the program. */
export interface Command {
  readonly name: string;
  /** Placeholders of the positional arguments, in order. */
  readonly args: readonly string[];
  readonly description: string;
  readonly options: readonly OptionSpec[];
  readonly examples: readonly string[];
  /** True if the command parses its arguments itself. */
  readonly hasCustomFlags?: boolean;
  run(args: Arguments, io: CommandIo): Promise<ExitCode>;
}

/** Flags of commands that call the store. */
export const STORE_OPTIONS: readonly OptionSpec[] = [
  {
    name: 'store',
    value: 'URL',
    description: 'The platform’s object store; MASTICLINK_STORE if left out',
  },
];

/** Flag of commands that call the administration API. */
export const TOKEN_OPTION: OptionSpec = {
  name: 'token',
  value: 'TOKEN',
  description: 'Token of the administration API; MASTICLINK_TOKEN if left out',
};

/** Flag that selects JSON output. */
export const JSON_OPTION: OptionSpec = {
  name: 'json',
  description: 'Print one JSON document instead of text',
};
