import type { EChartsOption } from 'echarts';

import type { BurnPoint } from './BurnReport.js';

/** Content of a plot. */
export interface PlotOptions {
  readonly title: string;
  readonly points: readonly BurnPoint[];
  /** Whether time labels show the date before `HH:MM`. */
  readonly shouldShowDate: boolean;
}

const WIDTH = 760;
const HEIGHT = 250;

const COLORS = { slow: '#d98e04', refused: '#4f6d9c', failed: '#b3261e', burn: '#222222' } as const;

function formatTime(at: number, shouldShowDate: boolean): string {
  const text = new Date(at).toISOString();
  return shouldShowDate ? `${text.slice(5, 10)} ${text.slice(11, 16)}` : text.slice(11, 16);
}

function createOption({ title, points, shouldShowDate: byDay }: PlotOptions): EChartsOption {
  const bars = (['slow', 'refused', 'failed'] as const).map((name) => ({
    name,
    type: 'bar' as const,
    stack: 'bad',
    itemStyle: { color: COLORS[name] },
    data: points.map((point) => point[name]),
  }));
  return {
    animation: false,
    backgroundColor: '#ffffff',
    title: { text: title, textStyle: { fontSize: 13 }, left: 0, top: 0 },
    legend: { top: 22, left: 0, itemHeight: 9 },
    grid: { left: 56, right: 56, top: 74, bottom: 28 },
    xAxis: { type: 'category', data: points.map(({ at }) => formatTime(at, byDay)) },
    yAxis: [
      { type: 'value', name: 'bad requests', minInterval: 1 },
      { type: 'value', name: 'burn rate', splitLine: { show: false } },
    ],
    series: [
      ...bars,
      {
        name: 'burn rate',
        type: 'line',
        yAxisIndex: 1,
        showSymbol: false,
        step: 'middle',
        itemStyle: { color: COLORS.burn },
        lineStyle: { color: COLORS.burn, width: 1.5 },
        data: points.map(({ burn }) => Number(burn.toFixed(3))),
      },
    ],
  };
}

/**
 * Renders bad requests and burn rate over time as SVG, without a browser.
 * @param options - Content of the plot.
 */
export async function renderPlot(options: PlotOptions): Promise<string> {
  // Loaded on demand, since the library is large and only needed here.
  const { init } = await import('echarts');
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT });
  chart.setOption(createOption(options));
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
