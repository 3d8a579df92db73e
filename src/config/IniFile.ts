import { parse } from 'ini';

import type { ConfigProblem } from './problems.js';

/** One `key = value` line. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** One `[section]` of a file. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly entries: ReadonlyMap<string, IniEntry>;
}

interface MutableSection extends IniSection {
  readonly entries: Map<string, IniEntry>;
}

const SECTION_LINE = /^\[([^\]]*)\]$/;

/** Looks a value up in the library's result, where `[targets.a]` becomes `targets: { a: … }`. */
function getValue(values: Record<string, unknown>, section: string, key: string): string {
  let node: unknown = values;
  for (const part of [...section.split('.'), key]) {
    if (typeof node !== 'object' || node === null || !Object.hasOwn(node, part)) return '';
    node = (node as Record<string, unknown>)[part];
  }
  return typeof node === 'object' ? '' : String(node).trim();
}

/**
 * An INI file with the line number of each section and key. Values come from the `ini` library, which
 * gives no line numbers and lets a duplicate key silently override the first, so that an operator would
 * only notice it by the wrong value in force. This class therefore records line numbers itself and
 * reports duplicates.
 */
export class IniFile {
  /** Problems found so far, in syntax and in values. */
  readonly problems: ConfigProblem[] = [];

  /** @internal */
  private readonly sections = new Map<string, MutableSection>();

  /**
   * @param file - Name of the file in messages.
   * @param text - Content of the file.
   * @example
   * const ini = new IniFile('zones.ini', '[zone.a]\nstate = in\n');
   * ini.getSection('zone.a')?.entries.get('state')?.line; // 2
   */
  constructor(
    readonly file: string,
    text: string,
  ) {
    const values = parse(text.replace(/^\uFEFF/, ''));
    let section: MutableSection | undefined;
    for (const [index, raw] of text
      .replace(/^\uFEFF/, '')
      .split(/\r?\n/)
      .entries()) {
      const content = raw.trim();
      if (content === '' || content.startsWith(';') || content.startsWith('#')) continue;
      const name = SECTION_LINE.exec(content)?.[1]?.trim();
      if (name !== undefined) section = this.openSection(name, index + 1);
      else this.addEntry(section, content, index + 1, values);
    }
  }

  /** Gives all sections in the order of the file. */
  getSections(): IniSection[] {
    return [...this.sections.values()];
  }

  /**
   * Gives a section; undefined if the file does not contain it.
   * @param name - Name between the brackets.
   */
  getSection(name: string): IniSection | undefined {
    return this.sections.get(name);
  }

  /**
   * Adds a problem of this file.
   * @param line - Line number; undefined if the problem concerns the whole file.
   * @param message - What is wrong.
   * @param fix - How to fix it.
   */
  report(line: number | undefined, message: string, fix: string): void {
    this.problems.push({ file: this.file, line, message, fix });
  }

  /** @internal */
  private openSection(name: string, line: number): MutableSection {
    const earlier = this.sections.get(name);
    if (earlier) {
      this.report(
        line,
        `section [${name}] appears twice`,
        `move its keys to the first one, line ${earlier.line}`,
      );
      return earlier;
    }
    const section: MutableSection = { name, line, entries: new Map() };
    this.sections.set(name, section);
    return section;
  }

  /** @internal */
  private addEntry(
    section: MutableSection | undefined,
    content: string,
    line: number,
    values: Record<string, unknown>,
  ): void {
    const [rawKey = '', ...rest] = content.split('=');
    const key = rawKey.trim();
    if (rest.length === 0 || key === '') {
      this.report(line, `"${content}" is not a setting`, 'write "key = value" or "[section]"');
      return;
    }
    if (!section) {
      this.report(line, `"${key}" is outside of any section`, 'put it under a "[section]"');
      return;
    }
    const earlier = section.entries.get(key);
    if (earlier) {
      this.report(
        line,
        `"${key}" appears twice in [${section.name}]`,
        `keep one of them; the first is on line ${earlier.line}`,
      );
      return;
    }
    section.entries.set(key, { key, value: getValue(values, section.name, key), line });
  }
}
