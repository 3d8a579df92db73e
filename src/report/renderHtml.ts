import type { BurnReport, ServiceBurn } from './BurnReport.js';
import { formatCause, formatObjective, formatPercent, formatWindow } from './format.js';
import { renderPlot } from './renderPlot.js';
import { WINDOW_PAIRS } from './windows.js';

const STYLE = `
body { font: 14px/1.45 system-ui, sans-serif; color: #222; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; margin: 0.5rem 0 1rem; }
th, td { text-align: right; padding: 0.25rem 0.75rem; border-bottom: 1px solid #ddd; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child { text-align: left; }
.firing { background: #fbe3e1; font-weight: 600; }
.page, .ticket { color: #fff; background: #b3261e; border-radius: 3px; padding: 0 0.4rem; }
.ticket { background: #b26a00; }
.none { color: #3b7a3b; }
figure { margin: 0.5rem 0; overflow-x: auto; }
h2 { margin: 2.5rem 0 0.25rem; }
footer { margin-top: 3rem; color: #666; }`;

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function renderRow(cells: readonly string[], tag: 'th' | 'td'): string {
  return `<tr>${cells.map((cell) => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
}

function renderOverview(report: BurnReport): string {
  const rows = report.services.map((burn) =>
    renderRow(
      [
        `<a href="#${escapeHtml(burn.service)}">${escapeHtml(burn.service)}</a>`,
        escapeHtml(formatObjective(burn)),
        String(burn.requests),
        String(burn.bad),
        formatPercent(burn.budgetLeft),
        `<span class="${burn.alarm}">${burn.alarm}</span>`,
      ],
      'td',
    ),
  );
  const header = ['Service', 'Objective', 'Requests', 'Bad', 'Budget left', 'Alarm'];
  return `<table>${renderRow(header, 'th')}${rows.join('')}</table>`;
}

function renderWindows(burn: ServiceBurn): string {
  const groups = [{ zone: 'all zones', windows: burn.windows }, ...burn.zones];
  const rows = groups.map(({ zone, windows }) => {
    const cells = windows.map(
      (window) => `<td${window.firing ? ' class="firing"' : ''}>${formatWindow(window)}</td>`,
    );
    return `<tr><td>${escapeHtml(zone)}</td>${cells.join('')}</tr>`;
  });
  const header = ['Burn rate', ...WINDOW_PAIRS.map((p) => `${p.name} (alarm at ${p.threshold})`)];
  return `<table>${renderRow(header, 'th')}${rows.join('')}</table>`;
}

function renderCauses(burn: ServiceBurn): string {
  if (burn.causes.length === 0) return '<p>No bad requests in the last three days.</p>';
  const items = burn.causes.map((cause) => `<li>${escapeHtml(formatCause(cause))}</li>`);
  return `<p>Largest causes in the last three days</p><ol>${items.join('')}</ol>`;
}

async function renderService(burn: ServiceBurn): Promise<string> {
  const minutes = await renderPlot({
    title: 'The last hour, by the minute (UTC)',
    points: burn.minutes,
    shouldShowDate: false,
  });
  const hours = await renderPlot({
    title: 'The last three days, by the hour (UTC)',
    points: burn.hours,
    shouldShowDate: true,
  });
  return [
    `<section><h2 id="${escapeHtml(burn.service)}">${escapeHtml(burn.service)}</h2>`,
    `<p>Objective: ${escapeHtml(formatObjective(burn))}. Budget left of 30 days: ${formatPercent(burn.budgetLeft)}.</p>`,
    renderWindows(burn),
    renderCauses(burn),
    `<figure>${minutes}</figure><figure>${hours}</figure></section>`,
  ].join('\n');
}

/**
 * Renders the report as one self-contained HTML page without scripts or external resources.
 * @param report - The report.
 */
export async function renderHtml(report: BurnReport): Promise<string> {
  const sections: string[] = [];
  for (const burn of report.services) sections.push(await renderService(burn));
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title><style>${STYLE}</style></head>
<body><h1>Service-level burn</h1>
<p>At ${escapeHtml(report.at)}, configuration ${report.generation}. A burn rate of 1 exhausts a budget exactly at the end of its 30 days.</p>
${renderOverview(report)}
${sections.join('\n')}
<footer>Counters are stored every 10 s, or less often in large fleets; if an entry VM is lost, its counts since then are missing.</footer>
</body></html>
`;
}
