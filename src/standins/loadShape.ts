import type { LoadShape } from './loadSettings.js';

/**
 * Computes the factor on the steady rate at `atS` (s after the start).
 *
 * @example
 * computeLoadFactor({ kind: 'step', factor: 3, fromS: 5, toS: 10 }, 7); // 3
 */
export function computeLoadFactor(shape: LoadShape, atS: number): number {
  switch (shape.kind) {
    case 'steady':
      return 1;
    case 'step':
      return atS >= shape.fromS && atS < shape.toS ? shape.factor : 1;
    case 'ramp':
      if (atS < shape.fromS || atS >= shape.toS) return 1;
      return 1 + ((shape.factor - 1) * (atS - shape.fromS)) / (shape.toS - shape.fromS);
    case 'spikes':
      return atS % shape.periodS < shape.lengthS ? shape.factor : 1;
  }
}
