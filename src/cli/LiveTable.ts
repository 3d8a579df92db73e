import { renderTable } from '../report/index.js';

import type { CommandIo } from './CommandIo.js';

/** A terminal table that is updated in place below permanent lines. */
export class LiveTable {
  /** @internal */
  private rows: readonly (readonly string[])[] = [];

  /** @internal */
  private shownLines = 0;

  /** @param io - Output; without a terminal only the permanent lines are written. */
  constructor(private readonly io: CommandIo) {}

  /**
   * Shows the table, or replaces the one that is shown.
   * @param rows - Cells by row, the header first.
   */
  show(rows: readonly (readonly string[])[]): void {
    if (!this.io.isTerminal) return;
    this.clear();
    this.rows = rows;
    const text = renderTable(rows);
    this.io.progress(`${text}\n`);
    this.shownLines = text.split('\n').length;
  }

  /**
   * Writes a permanent line above the table.
   * @param text - The line.
   */
  printLine(text: string): void {
    this.clear();
    this.io.err(text);
    if (this.rows.length > 0) this.show(this.rows);
  }

  /** Erases the table. Call this before other output, which would otherwise mix with the table. */
  clear(): void {
    if (this.shownLines === 0) return;
    this.io.progress(`\u001B[${this.shownLines}A\u001B[0J`);
    this.shownLines = 0;
  }
}
