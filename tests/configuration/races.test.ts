import { describe, it } from 'node:test';
import { expect } from 'earl';
import { configRaces } from '../../src/bench/scenarios/configRaces.js';

describe('bench config-races', () => {
  it('should not lose any accepted edit, unlike the last-writer-wins baseline', async () => {
    const figures = await configRaces.run({ seed: 1, plotFolder: undefined, printProgress: () => undefined });
    const lost = figures.find(({ name }) => name === 'accepted edits that are lost');
    expect(lost?.value).toEqual(0);
    expect(lost?.baselines['last writer wins'] ?? 0).toBeGreaterThan(0);
  });
});
