import { readFileSync, writeFileSync } from 'node:fs';

import type { StoreEntry, StoreOp, StoreResult } from '../core/index.js';
import type { StoreCaller } from '../store/StoreCaller.js';

import { createCliError } from './errors.js';

/** Content of a dump file. */
interface Dump {
  /** Time of the dump, milliseconds since 1970. */
  readonly at: number;
  readonly entries: readonly StoreEntry[];
}

/** Read-only store with the objects of a dump file. */
export class DumpedStore implements StoreCaller {
  /** @internal */
  private constructor(private readonly dump: Dump) {}

  /** Time of the dump, milliseconds since 1970. */
  get at(): number {
    return this.dump.at;
  }

  /**
   * Reads a dump file.
   * @param file - Path of the file.
   * @throws CliError if the file cannot be read or is not a dump.
   */
  static read(file: string): DumpedStore {
    let dump: Partial<Dump>;
    try {
      dump = JSON.parse(readFileSync(file, 'utf8')) as Partial<Dump>;
    } catch {
      throw createCliError(
        `${file}: cannot be read as JSON; create a dump with "demo --dump FILE"`,
      );
    }
    if (typeof dump.at !== 'number' || !Array.isArray(dump.entries)) {
      throw createCliError(`${file}: is not a dump; create one with "demo --dump FILE"`);
    }
    return new DumpedStore(dump as Dump);
  }

  /**
   * Writes objects to a dump file.
   * @param file - Path of the file.
   * @param entries - Objects of a store.
   * @param at - Time of the dump, milliseconds since 1970.
   */
  static write(file: string, entries: readonly StoreEntry[], at: number): void {
    writeFileSync(file, JSON.stringify({ at, entries } satisfies Dump));
  }

  async call(op: StoreOp): Promise<StoreResult> {
    if (op.op === 'list') {
      const entries = this.dump.entries.filter(({ key }) => key.startsWith(op.prefix));
      return { kind: 'listed', entries };
    }
    if (op.op !== 'get') return { kind: 'unavailable' };
    const entry = this.dump.entries.find(({ key }) => key === op.key);
    return entry ? { kind: 'found', entry } : { kind: 'missing' };
  }
}
