import type { IniFile, IniSection } from './IniFile.js';
import { suggest } from './nearest.js';
import type { ValueType } from './valueTypes.js';

/** Specification of one key of a file. */
export interface KeySpec<T> {
  readonly type: ValueType<T>;
  /** Value if the key is omitted, as an operator would write it. */
  readonly default?: string;
  /** Whether the key must be present. */
  readonly required: boolean;
  /** One sentence for the operators' documentation. */
  readonly description: string;
}

/** Keys of one section. */
export type SectionSpec = Readonly<Record<string, KeySpec<unknown>>>;

/** Sections of one kind of file. */
export type KeyTable = Readonly<Record<string, SectionSpec>>;

/** Parsed values of a section. */
export type SectionValues<S extends SectionSpec> = {
  readonly [K in keyof S]: S[K] extends KeySpec<infer T> ? T : never;
};

/** Parsed values of a file. */
export type TableValues<T extends KeyTable> = {
  readonly [S in keyof T]: SectionValues<T[S]>;
};

/**
 * Specifies a key that must be present.
 * @param type - Type of the value.
 * @param description - One sentence.
 */
export function required<T>(type: ValueType<T>, description: string): KeySpec<T> {
  return { type, required: true, description };
}

/**
 * Specifies a key that has a default.
 * @param type - Type of the value.
 * @param text - Default, as an operator would write it.
 * @param description - One sentence.
 */
export function withDefault<T>(type: ValueType<T>, text: string, description: string): KeySpec<T> {
  return { type, required: false, default: text, description };
}

/**
 * Specifies a key that may be omitted.
 * @param type - Type of the value.
 * @param description - One sentence.
 */
export function optional<T>(type: ValueType<T>, description: string): KeySpec<T | undefined> {
  return { type, required: false, description };
}

/** @internal */
function readKey(
  ini: IniFile,
  section: IniSection | undefined,
  name: { readonly section: string; readonly key: string },
  spec: KeySpec<unknown>,
): unknown {
  const entry = section?.entries.get(name.key);
  if (!entry) {
    if (spec.default !== undefined) return spec.type.parse(spec.default);
    if (spec.required) {
      ini.report(
        section?.line,
        `"${name.key}" is missing from [${name.section}]`,
        `add "${name.key} = …" with ${spec.type.expected}`,
      );
    }
    return undefined;
  }
  const value = spec.type.parse(entry.value);
  if (value === undefined) {
    ini.report(
      entry.line,
      `"${entry.value}" is not a valid value for "${name.key}"`,
      `expected ${spec.type.expected}`,
    );
  }
  return value;
}

/**
 * Reads the known keys of a section and reports unknown keys, invalid values and missing keys.
 * The result is only complete if no problem was reported.
 * @param ini - File, to which problems are added.
 * @param name - Name of the section.
 * @param spec - Keys that the section may contain.
 */
export function readSection<S extends SectionSpec>(
  ini: IniFile,
  name: string,
  spec: S,
): SectionValues<S> {
  const section = ini.getSection(name);
  for (const entry of section?.entries.values() ?? []) {
    if (!Object.hasOwn(spec, entry.key)) {
      ini.report(
        entry.line,
        `unknown key "${entry.key}" in [${name}]`,
        suggest(entry.key, Object.keys(spec)),
      );
    }
  }
  const values = Object.entries(spec).map(([key, keySpec]) => [
    key,
    readKey(ini, section, { section: name, key }, keySpec),
  ]);
  return Object.fromEntries(values) as SectionValues<S>;
}

/**
 * Reads all sections of a table and reports unknown sections.
 * @param ini - File, to which problems are added.
 * @param table - Sections and keys that the file may contain.
 * @param prefixes - Name prefixes of sections that are read elsewhere, such as `targets.`.
 */
export function readTable<T extends KeyTable>(
  ini: IniFile,
  table: T,
  prefixes: readonly string[] = [],
): TableValues<T> {
  for (const section of ini.getSections()) {
    const known =
      Object.hasOwn(table, section.name) || prefixes.some((p) => section.name.startsWith(p));
    if (!known) {
      ini.report(
        section.line,
        `unknown section [${section.name}]`,
        suggest(section.name, [...Object.keys(table), ...prefixes.map((p) => `${p}ZONE`)]),
      );
    }
  }
  const values = Object.entries(table).map(([name, spec]) => [name, readSection(ini, name, spec)]);
  return Object.fromEntries(values) as TableValues<T>;
}
