import { createUsageError } from './errors.js';

/** Arguments of one command, validated when they are read. */
export class Arguments {
  /**
   * @param positional - Positional arguments in order.
   * @param flags - Parsed flags by name.
   * @param rawArgs - Unparsed arguments after the name of the command.
   */
  constructor(
    readonly positional: readonly string[],
    private readonly flags: Readonly<Record<string, unknown>>,
    readonly rawArgs: readonly string[] = [],
  ) {}

  /**
   * Whether a switch is set.
   * @param name - Name of the switch.
   */
  has(name: string): boolean {
    return this.flags[name] === true;
  }

  /**
   * Gives the text of a flag; undefined if it is omitted and there is no fallback.
   * @param name - Name of the flag.
   * @param fallback - Value if the flag is omitted.
   * @throws UsageError if the flag has no value or is given twice.
   */
  getText(name: string, fallback?: string): string | undefined {
    const value = this.flags[name];
    if (value === undefined) return fallback;
    if (value === true || value === '') throw createUsageError(`--${name} needs a value`);
    if (Array.isArray(value)) throw createUsageError(`--${name} is given twice`);
    return String(value);
  }

  /**
   * Gives the text of a flag.
   * @param name - Name of the flag.
   * @param fallback - Value if the flag is omitted.
   * @throws UsageError if there is neither a flag nor a fallback, or the flag is invalid.
   */
  getTextOrThrow(name: string, fallback?: string): string {
    const text = this.getText(name, fallback);
    if (text === undefined) throw createUsageError(`--${name} is missing`);
    return text;
  }

  /**
   * Gives all values of a flag, which may be repeated and may contain several values separated by commas.
   * @param name - Name of the flag.
   * @throws UsageError if the flag has no value.
   */
  getList(name: string): string[] {
    const value = this.flags[name];
    if (value === undefined) return [];
    const texts = Array.isArray(value) ? value : [value];
    return texts.flatMap((text) => {
      if (text === true || text === '') throw createUsageError(`--${name} needs a value`);
      return String(text).split(',');
    });
  }

  /**
   * Gives the whole number of a flag; undefined if it is omitted.
   * @param name - Name of the flag.
   * @param range - Inclusive bounds.
   * @throws UsageError if the value is not a whole number within the bounds.
   */
  getInteger(name: string, range: { min: number; max: number }): number | undefined {
    const text = this.getText(name);
    if (text === undefined) return undefined;
    const value = Number(text);
    if (!/^\d+$/.test(text) || value < range.min || value > range.max) {
      throw createUsageError(
        `--${name} ${text}: expected a whole number from ${range.min} to ${range.max}`,
      );
    }
    return value;
  }
}
