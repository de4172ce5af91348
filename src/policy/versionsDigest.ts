import { hashText } from '../core/hash.js';

/** Computes a short text that two nodes share exactly when they hold the same version of every service. */
export function computeVersionsDigest(services: ReadonlyMap<string, { readonly version: number }>): string {
  const text = [...services]
    .map(([service, { version }]) => `${service}:${version}`)
    .sort()
    .join(' ');
  return `${hashText(text)}-${hashText(text, 1)}`;
}
