import { randomUUID } from 'node:crypto';

/** Texts of all raw parts, by what stands for them while JSON is written. */
const textsByMark = new Map<string, string>();

const MARK_PATTERN = /"raw:[\w-]{36}"/g;

/** A part of JSON that no JavaScript value gives, such as a number beyond the range of a double. */
export class RawJson {
  /** @internal */
  private readonly mark = `raw:${randomUUID()}`;

  /** @param text - The part, as it is sent. */
  constructor(text: string) {
    textsByMark.set(`"${this.mark}"`, text);
  }

  /** Called by `JSON.stringify`. */
  toJSON(): string {
    return this.mark;
  }
}

/**
 * Writes JSON in which raw parts stand as they are.
 * @param value - What is written; it may hold `RawJson` at any place.
 */
export function writeJson(value: unknown): string {
  return JSON.stringify(value).replaceAll(MARK_PATTERN, (mark) => textsByMark.get(mark) ?? mark);
}
