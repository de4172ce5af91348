import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Writes the settings in force. Changed bounds and services apply on reload; address changes require a restart. */
export function createSettingsController({ board }: RequestContext): Controller {
  const settings = board.claim('settings', 'settingsController');
  settings.handlePosts((changed) => {
    settings.section.current = changed;
    const inputs = { service: changed.service, drainMs: changed.bounds.drainMs };
    board.post('decisions', { kind: 'nodeChanged', outcome: 'settings reloaded', inputs });
    settings.publishChange();
  });
  return { start: () => undefined, stop: () => undefined };
}
