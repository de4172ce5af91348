import { mkdirSync, writeFileSync } from 'node:fs';
import { cpus } from 'node:os';
import sade from 'sade';
import type { BenchReport, Figure } from '../schema/benchReport.js';
import type { Scenario } from './scenario.js';
import { scenarios } from './scenarios/index.js';

const EXIT_BOUND_MISSED = 1;
const EXIT_USAGE = 2;

interface BenchOptions {
  seed: number | string;
  json?: string;
  plots?: string;
  list?: boolean;
}

function printScenarios(): void {
  for (const { name, kind, description } of scenarios)
    console.log(`${name.padEnd(20)} ${kind.padEnd(14)} ${description}`);
}

function formatFigure(figure: Figure): string {
  const { name, value, unit, bound, ok, baselines } = figure;
  const sign = bound?.kind === 'atLeast' ? '>=' : '<=';
  const result = bound === undefined ? '' : ` (bound ${sign} ${bound.value}: ${ok ? 'ok' : 'MISSED'})`;
  const others = Object.entries(baselines).map(([label, other]) => `${label}: ${formatNumber(other)}`);
  return `  ${name}: ${formatNumber(value)} ${unit}${result}${others.length > 0 ? ` [${others.join(', ')}]` : ''}`;
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

async function runScenario(scenario: Scenario, seed: number, options: BenchOptions): Promise<BenchReport> {
  if (options.plots !== undefined) mkdirSync(options.plots, { recursive: true });
  const figures = await scenario.run({
    seed,
    plotFolder: options.plots,
    printProgress: (text) => {
      process.stderr.write(`${text}\n`);
    },
  });
  const environment = { node: process.version, cores: cpus().length, kind: scenario.kind };
  return { name: scenario.name, seed, environment, figures, ok: figures.every(({ ok }) => ok) };
}

async function runBench(name: string | undefined, options: BenchOptions): Promise<void> {
  if (options.list === true || name === undefined) {
    printScenarios();
    return;
  }
  const scenario = scenarios.find((candidate) => candidate.name === name);
  const seed = Number(options.seed);
  if (scenario === undefined || !Number.isInteger(seed)) {
    console.error(
      scenario === undefined ? `unknown bench ${name}; --list prints all names` : '--seed must be an integer',
    );
    process.exitCode = EXIT_USAGE;
    return;
  }
  const report = await runScenario(scenario, seed, options);
  console.log(`${report.name} (seed ${report.seed}, ${report.environment.kind}): ${report.ok ? 'ok' : 'MISSED'}`);
  for (const figure of report.figures) console.log(formatFigure(figure));
  if (options.json !== undefined) writeFileSync(options.json, `${JSON.stringify(report, null, 2)}\n`);
  process.exitCode = report.ok ? 0 : EXIT_BOUND_MISSED;
}

sade('bench [name]', true)
  .describe('Runs one bench and checks its bounds.')
  .option('--seed', 'Seed of all random choices', 1)
  .option('--json', 'File for the report')
  .option('--plots', 'Folder for SVG plots')
  .option('--list', 'List the benches')
  .example('chain-overload --seed 7 --json report.json')
  .action(runBench)
  .parse(process.argv);
