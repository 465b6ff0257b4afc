/** Stores the results of runs, writes them as HTML pages with plots, and compares two runs. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';

import type { Plot } from './experiment.js';

/** Result of a run as it is printed and stored. */
export interface StoredRun {
  readonly experiment: string;
  readonly seed: number;
  readonly pass: boolean;
  readonly figures: Readonly<Record<string, number>>;
  readonly missed?: readonly string[];
  readonly plots?: readonly Plot[];
}

const require = createRequire(import.meta.url);
const NAME_WIDTH_CHARS = 34;
const VALUE_WIDTH_CHARS = 14;

/** Writes `<experiment>-<seed>.json` and a self-contained HTML page with the same base name to `folder`. */
export function writeReport(folder: string, run: StoredRun): void {
  mkdirSync(folder, { recursive: true });
  const base = join(folder, `${run.experiment}-${String(run.seed)}`);
  writeFileSync(`${base}.json`, JSON.stringify(run));
  writeFileSync(`${base}.html`, reportPage(run));
}

/** Reads a stored run. Throws when the file cannot be read or holds something else. */
export function readRun(file: string): StoredRun {
  const run = JSON.parse(readFileSync(file, 'utf8')) as Partial<StoredRun>;
  if (run.figures === undefined || run.experiment === undefined)
    throw new Error(`${file} is not a stored run: it has no figures or no experiment name`);
  return run as StoredRun;
}

/** Formats the figures of two runs side by side with the ratio of the second to the first. */
export function compareRuns(first: StoredRun, second: StoredRun): string {
  const names = [...new Set([...Object.keys(first.figures), ...Object.keys(second.figures)])];
  const cell = (value: number | undefined): string =>
    (value === undefined ? '-' : String(Math.round(value * 1_000) / 1_000)).padStart(VALUE_WIDTH_CHARS);
  const header = `${''.padEnd(NAME_WIDTH_CHARS)}${'first'.padStart(VALUE_WIDTH_CHARS)}${'second'.padStart(VALUE_WIDTH_CHARS)}${'ratio'.padStart(VALUE_WIDTH_CHARS)}\n`;
  const lines = names.map((name) => {
    const [a, b] = [first.figures[name], second.figures[name]];
    const ratio = a === undefined || b === undefined || a === 0 ? undefined : b / a;
    return `${name.padEnd(NAME_WIDTH_CHARS)}${cell(a)}${cell(b)}${cell(ratio)}\n`;
  });
  return header + lines.join('');
}

/** Builds a self-contained HTML page: script and style of the plot library are included. */
export function reportPage(run: StoredRun): string {
  const library = dirname(require.resolve('uplot/package.json'));
  const script = readFileSync(join(library, 'dist/uPlot.iife.min.js'), 'utf8');
  const style = readFileSync(join(library, 'dist/uPlot.min.css'), 'utf8');
  const rows = Object.entries(run.figures)
    .map(([name, value]) => {
      const missed = run.missed?.includes(name) ?? false;
      const shown = String(Math.round(value * 1_000) / 1_000);
      return `<tr${missed ? ' class="missed"' : ''}><td>${escapeHtml(name)}</td><td>${shown}</td></tr>`;
    })
    .join('\n');
  const data = JSON.stringify(run.plots ?? []).replaceAll('<', '\\u003c');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escapeHtml(run.experiment)}, seed ${String(run.seed)}</title>
<style>${style}
body { font-family: sans-serif; margin: 2em; }
td { padding: 0.1em 1em 0.1em 0; }
.missed { color: #b00020; font-weight: bold; }
</style>
</head>
<body>
<h1>${escapeHtml(run.experiment)}, seed ${String(run.seed)}: ${run.pass ? 'all bounds met' : 'bounds missed'}</h1>
<table>${rows}</table>
<div id="plots"></div>
<script>${script}</script>
<script>
const plots = ${data};
${PLOT_SCRIPT}
</script>
</body>
</html>
`;
}

/** Script of the page: draws each plot, and its marks as vertical lines with labels. */
const PLOT_SCRIPT = `
const COLOURS = ['#1b6ca8', '#d1495b', '#3c8d53', '#8d6cab', '#c78b1f'];
plots.forEach((plot) => {
  const sorted = plot.series.map((series) => {
    const points = series.x.map((x, i) => [x, series.y[i]]).sort((a, b) => a[0] - b[0]);
    return [points.map((p) => p[0]), points.map((p) => p[1])];
  });
  const data = sorted.length > 1 ? uPlot.join(sorted) : sorted[0];
  const drawMarks = (u) => (plot.marks ?? []).forEach((mark, index) => {
    const x = u.valToPos(mark.x, 'x', true);
    u.ctx.save();
    u.ctx.strokeStyle = '#999';
    u.ctx.beginPath();
    u.ctx.moveTo(x, u.bbox.top);
    u.ctx.lineTo(x, u.bbox.top + u.bbox.height);
    u.ctx.stroke();
    u.ctx.fillStyle = '#555';
    u.ctx.textAlign = x > u.bbox.left + u.bbox.width * 0.8 ? 'right' : 'left';
    u.ctx.fillText(mark.label, x + (u.ctx.textAlign === 'left' ? 3 : -3), u.bbox.top + 12 + (index % 8) * 13);
    u.ctx.restore();
  });
  new uPlot({
    title: plot.title,
    width: 960,
    height: 360,
    scales: { x: { time: false } },
    axes: [{ label: plot.xTitle }, { label: plot.yTitle }],
    series: [{ label: plot.xTitle }, ...plot.series.map((series, index) => ({
      label: series.name,
      stroke: COLOURS[index % COLOURS.length],
      width: 1.5,
      spanGaps: true,
    }))],
    hooks: { draw: [drawMarks] },
  }, data, document.getElementById('plots'));
});
`;

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
