import type { BenchReport, Figure } from '../schema/benchReport.js';

/** Inputs of a scenario run. */
export interface ScenarioContext {
  seed: number;
  /** Folder for SVG plots; undefined to write none. */
  plotFolder: string | undefined;
  /** Prints a progress line for the user. */
  printProgress: (text: string) => void;
}

/** A benchmark: runs a workload and returns the measured figures with their bounds. */
export interface Scenario {
  name: string;
  description: string;
  kind: BenchReport['environment']['kind'];
  run(context: ScenarioContext): Promise<Figure[]>;
}

/**
 * Creates a figure, with a bound if `atLeast` or `atMost` is given. Take bounds from the requirements, not
 * from measured results.
 *
 * @example
 * createFigure('goodput', 0.95, 'share of capacity', { atLeast: 0.92, baselines: { 'no control': 0.2 } });
 */
export function createFigure(
  name: string,
  value: number,
  unit: string,
  options: { atLeast?: number; atMost?: number; baselines?: Record<string, number> } = {},
): Figure {
  const { atLeast, atMost, baselines = {} } = options;
  if (atLeast !== undefined) {
    return { name, value, unit, bound: { kind: 'atLeast', value: atLeast }, ok: value >= atLeast, baselines };
  }
  if (atMost !== undefined) {
    return { name, value, unit, bound: { kind: 'atMost', value: atMost }, ok: value <= atMost, baselines };
  }
  return { name, value, unit, ok: true, baselines };
}
