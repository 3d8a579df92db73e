import type { ConsolaInstance, LogObject } from 'consola';
import { createConsola, LogLevels } from 'consola';

import type { Logger } from './Logger.js';

/** Destination of log lines: standard error, or a list in tests. */
export interface LogStream {
  readonly isTTY?: boolean;
  write(text: string): unknown;
}

/** Level, format and destination of log lines. */
export interface ConsolaLoggerOptions {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** `auto` writes text to a terminal and JSON lines to anything else. */
  readonly format: 'auto' | 'text' | 'json';
  readonly stream: LogStream;
  /** Written in each JSON line to tell the lines of several VMs apart. */
  readonly source?: string;
}

/** Width to which tags are padded in text format, so that the messages start in one column. */
const TAG_WIDTH = 8;

function formatText({ date, tag, type, args }: LogObject): string {
  const time = date.toISOString().slice(11, 23);
  const levelPrefix = type === 'warn' || type === 'error' ? `${type.toUpperCase()}: ` : '';
  return `${time} ${tag.padEnd(TAG_WIDTH)} ${levelPrefix}${args.join(' ')}\n`;
}

function formatJson({ date, tag, type, args }: LogObject, source?: string): string {
  const line = { time: date.toISOString(), level: type, part: tag, text: args.join(' '), source };
  return `${JSON.stringify(line)}\n`;
}

/**
 * Logger based on consola. Each line carries the part of the process that it comes from.
 * Never throws: a log line that cannot be written must not end the process.
 */
export class ConsolaLogger implements Logger {
  /** @internal */
  private readonly taggedLoggers = new Map<string, ConsolaInstance>();

  /** @internal */
  private readonly consola: ConsolaInstance;

  /**
   * @param options - Level, format and destination.
   * @example
   * const logger = new ConsolaLogger({ level: 'info', format: 'auto', stream: process.stderr });
   * logger.info('config', 'Generation 7 is in force.');
   */
  constructor(options: ConsolaLoggerOptions) {
    const { stream, format, source } = options;
    const isText = format === 'text' || (format === 'auto' && stream.isTTY === true);
    this.consola = createConsola({
      level: LogLevels[options.level],
      // By default consola drops repeated lines, which would mislead an operator who counts them.
      throttle: 0,
      reporters: [
        {
          log: (entry) => {
            stream.write(isText ? formatText(entry) : formatJson(entry, source));
          },
        },
      ],
    });
  }

  debug(part: string, text: string): void {
    this.getTaggedLogger(part).debug(text);
  }

  info(part: string, text: string): void {
    this.getTaggedLogger(part).info(text);
  }

  warn(part: string, text: string): void {
    this.getTaggedLogger(part).warn(text);
  }

  error(part: string, text: string): void {
    this.getTaggedLogger(part).error(text);
  }

  /** @internal */
  private getTaggedLogger(part: string): ConsolaInstance {
    const existing = this.taggedLoggers.get(part);
    if (existing) return existing;
    const created = this.consola.withTag(part);
    this.taggedLoggers.set(part, created);
    return created;
  }
}
