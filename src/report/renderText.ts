import type { BurnReport, ServiceBurn } from './BurnReport.js';
import { formatCause, formatObjective, formatPercent, formatWindow } from './format.js';
import { WINDOW_PAIRS } from './windows.js';

const MAX_TEXT_CAUSES = 3;

/**
 * Formats a table with left-aligned columns. Numbers are left-aligned too, since cells are plain text.
 * @param rows - Cells by row, the header first.
 */
export function renderTable(rows: readonly (readonly string[])[]): string {
  const widths = rows[0].map((_, column) => Math.max(...rows.map((row) => row[column].length)));
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function getRows(burn: ServiceBurn): string[][] {
  const serviceRow = [
    burn.service,
    'all',
    String(burn.requests),
    String(burn.bad),
    formatPercent(burn.budgetLeft),
    ...burn.windows.map(formatWindow),
    burn.alarm,
  ];
  const zoneRows = burn.zones.map((zone) => [
    '',
    zone.zone,
    String(zone.requests),
    String(zone.bad),
    '',
    ...zone.windows.map(formatWindow),
    '',
  ]);
  return [serviceRow, ...zoneRows];
}

function renderCauses(burn: ServiceBurn): string[] {
  if (burn.causes.length === 0) return [];
  const causes = burn.causes.slice(0, MAX_TEXT_CAUSES).map((cause) => `  ${formatCause(cause)}`);
  return ['', `${burn.service} (${formatObjective(burn)}), largest causes`, ...causes];
}

/**
 * Renders the report as a table for a terminal. Counts of zones cover only the days that are stored by
 * the minute.
 * @param report - The report.
 */
export function renderText(report: BurnReport): string {
  const pairs = WINDOW_PAIRS.map(({ name }) => `burn ${name}`);
  const header = ['service', 'zone', 'requests', 'bad', 'budget left', ...pairs, 'alarm'];
  return [
    `Service-level burn at ${report.at}, configuration ${report.generation}`,
    renderTable([header, ...report.services.flatMap(getRows)]),
    ...report.services.flatMap(renderCauses),
  ].join('\n');
}
