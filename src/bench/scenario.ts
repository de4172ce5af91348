import type { BenchReport, Figure } from '../schema/benchReport.js';

/** What a scenario is run with. */
export interface ScenarioRun {
  seed: number;
  /** Folder for plots; undefined when none are wanted. */
  plotFolder: string | undefined;
  /** Tells a person what is going on. */
  printProgress: (text: string) => void;
}

/** One bench: a situation, its measurement, and the figures with their bounds. */
export interface Scenario {
  name: string;
  situation: string;
  kind: BenchReport['environment']['kind'];
  run(run: ScenarioRun): Promise<Figure[]>;
}

/**
 * Creates a figure with a bound. The bound is the stated target and never a measured value.
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
