import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Writes the settings in force. Changed bounds and services apply on reload; address changes require a restart. */
export function createSettingsController({ board }: RequestContext): Controller {
  const settings = board.claim('settings', 'settingsController');
  settings.handlePosts((changed) => {
    const fields = listChangedFields(settings.section.current, changed);
    settings.section.current = changed;
    const inputs = { changed: fields.map(({ name, from, to }) => `${name}: ${from} -> ${to}`).join(', ') };
    board.post('decisions', { kind: 'nodeChanged', outcome: 'settings reloaded', inputs });
    settings.publishChange();
  });
  return { start: () => undefined, stop: () => undefined };
}

/** Lists the fields, with their path, whose value differs. */
function listChangedFields(previous: object, next: object, prefix = ''): { name: string; from: string; to: string }[] {
  const changes = Object.entries(next).map(([name, value]: [string, unknown]) => {
    const known = (previous as Record<string, unknown>)[name];
    if (typeof value === 'object' && value !== null && typeof known === 'object' && known !== null)
      return listChangedFields(known, value, `${prefix}${name}.`);
    return known === value ? [] : [{ name: `${prefix}${name}`, from: formatField(known), to: formatField(value) }];
  });
  return changes.flat();
}

function formatField(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
