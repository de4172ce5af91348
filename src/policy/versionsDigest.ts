import { hashText } from '../core/hash.js';

/** Computes a digest that is equal at two nodes when they have the same version of every service. */
export function computeVersionsDigest(services: ReadonlyMap<string, { readonly version: number }>): string {
  const text = [...services]
    .map(([service, { version }]) => `${service}:${version}`)
    .sort()
    .join(' ');
  return `${hashText(text)}-${hashText(text, 1)}`;
}
