import type { BenchReport } from "./bench.js";
import type { PolicySummary, Quantiles } from "./summary.js";

const CHART_WIDTH = 640;
const BAR_HEIGHT = 16;
const GROUP_GAP = 14;
const LABEL_WIDTH = 190;
const COLORS: Readonly<Record<keyof Omit<Quantiles, "count">, string>> = {
  p50: "#4c78a8",
  p95: "#f58518",
  p99: "#e45756",
};

const escapeHtml = (text: string): string => text.replace(/&/g, "&amp;").replace(/</g, "&lt;");

/** Draws bars of p50, p95 and p99 for each row on a logarithmic axis. */
const newChart = (title: string, rows: readonly { label: string; values: Quantiles }[]): string => {
  const all = rows.flatMap(({ values }) => [values.p50, values.p95, values.p99]);
  const low = Math.log10(Math.max(0.1, Math.min(...all))) - 0.1;
  const high = Math.log10(Math.max(1, ...all)) + 0.1;
  const toX = (value: number): number =>
    ((Math.log10(Math.max(0.1, value)) - low) / (high - low)) * (CHART_WIDTH - LABEL_WIDTH - 70);
  let y = 0;
  const bars = rows.map(({ label, values }) => {
    const top = y;
    const group = (["p50", "p95", "p99"] as const).map((name, i) => {
      const width = Math.max(1, toX(values[name])).toFixed(1);
      const at = top + i * BAR_HEIGHT;
      const text = `${name} ${values[name].toPrecision(3)}`;
      return (
        `<rect x="${String(LABEL_WIDTH)}" y="${String(at)}" width="${width}" height="${String(BAR_HEIGHT - 2)}" fill="${COLORS[name]}"/>` +
        `<text x="${String(LABEL_WIDTH + Number(width) + 4)}" y="${String(at + 11)}">${text}</text>`
      );
    });
    y += 3 * BAR_HEIGHT + GROUP_GAP;
    return `<text x="0" y="${String(top + 26)}">${escapeHtml(label)}</text>${group.join("")}`;
  });
  return `<h2>${escapeHtml(title)}</h2><svg width="${String(CHART_WIDTH)}" height="${String(y)}" font-family="sans-serif" font-size="11">${bars.join("")}</svg>`;
};

const newTable = (policies: readonly PolicySummary[]): string => {
  const rows = policies.map(
    (p) =>
      `<tr><td>${escapeHtml(p.policy)}</td><td>${p.goodput.toFixed(2)}</td><td>${String(p.refused)}</td>` +
      `<td>${String(p.failed)}</td><td>${String(p.violations)}</td><td>${(p.cacheHitRatio * 100).toFixed(1)}%</td>` +
      `<td>${p.idleRatio.toFixed(2)}</td></tr>`,
  );
  return (
    "<table border='1' cellpadding='4'><tr><th>policy</th><th>answers/s</th><th>refused</th><th>failed</th>" +
    `<th>violations</th><th>cache hits</th><th>idle ratio</th></tr>${rows.join("")}</table>`
  );
};

/** Formats the report as one HTML page with charts. */
export const newHtmlReport = (report: BenchReport): string => {
  const bands = Object.keys(report.policies[0]?.ttftMs ?? {});
  const charts = bands.map((band) =>
    newChart(
      `Time to first token, prompts ${band} tokens (ms of model time, logarithmic)`,
      report.policies.flatMap(({ policy, ttftMs }) => {
        const values = ttftMs[band];
        return values ? [{ label: policy, values }] : [];
      }),
    ),
  );
  const slowdown = newChart(
    "Slowdown of short requests against an idle engine",
    report.policies.map(({ policy, shortSlowdown }) => ({ label: policy, values: shortSlowdown })),
  );
  return (
    `<!doctype html><meta charset="utf-8"><title>bench ${escapeHtml(report.deployment)}</title>` +
    `<h1>${escapeHtml(report.deployment)}</h1><p>${escapeHtml(JSON.stringify(report.settings))}</p>` +
    `${newTable(report.policies)}${charts.join("")}${slowdown}`
  );
};
