import { FailureError } from '../schema/failure.js';

/** Read-only type of a section, for all controllers other than the one that claimed it. */
export type ReadView<T> = T extends (...parameters: never[]) => unknown
  ? T
  : T extends ReadonlyMap<infer Key, infer Value>
    ? ReadonlyMap<Key, ReadView<Value>>
    : T extends ReadonlySet<infer Value>
      ? ReadonlySet<Value>
      : T extends Uint8Array
        ? T
        : T extends readonly (infer Value)[]
          ? readonly ReadView<Value>[]
          : T extends object
            ? { readonly [Key in keyof T]: ReadView<T[Key]> }
            : T;

/** Write access to one section, held by the controller that claimed it. */
export interface SectionWriter<Section, Post> {
  readonly section: Section;
  /** Notifies the subscribers that the section changed. */
  publishChange(): void;
  /** Sets the handler of the requests that other controllers post to this section. */
  handlePosts(handler: (post: Post) => void): void;
}

/**
 * Shared state of one process: named sections that all controllers can read, each with a single writer.
 *
 * `Sections` maps a section name to its content, `Posts` to the requests that its writer handles.
 */
export interface Board<Sections extends object, Posts extends { [Name in keyof Sections]: unknown }> {
  /** Returns the section itself, not a copy: later changes are visible through it. */
  read<Name extends keyof Sections>(name: Name): ReadView<Sections[Name]>;
  /** Returns write access to a section; a second claim of the same section throws `sectionClaimed`. */
  claim<Name extends keyof Sections>(name: Name, controller: string): SectionWriter<Sections[Name], Posts[Name]>;
  /** Calls the listener after each published change, until the returned function is called. */
  subscribe(name: keyof Sections, listener: () => void): () => void;
  /** Passes a request to the section's writer, which handles it synchronously. */
  post<Name extends keyof Sections>(name: Name, post: Posts[Name]): void;
  /** Returns the sections that no controller has claimed; empty once all controllers of a node are created. */
  listUnclaimed(): (keyof Sections)[];
}

interface SectionSlot {
  readonly listeners: Set<() => void>;
  owner: string | undefined;
  handler: ((post: never) => void) | undefined;
}

/**
 * Creates a blackboard over the given sections.
 *
 * @example
 * const board = createBoard<Sections, Posts>(createSections());
 * const limits = board.claim('limits', 'limitController');
 * limits.section.concurrency = 8;
 * limits.publishChange();
 */
export function createBoard<Sections extends object, Posts extends { [Name in keyof Sections]: unknown }>(
  sections: Sections,
): Board<Sections, Posts> {
  const slots = new Map<keyof Sections, SectionSlot>();
  for (const name of Object.keys(sections) as (keyof Sections)[]) {
    slots.set(name, { listeners: new Set(), owner: undefined, handler: undefined });
  }
  const getSlot = (name: keyof Sections): SectionSlot => {
    const slot = slots.get(name);
    if (slot !== undefined) return slot;
    throw new FailureError({
      kind: 'sectionClaimed',
      message: 'there is no such section',
      section: String(name),
    });
  };
  return {
    read: (name) => sections[name] as ReadView<Sections[typeof name]>,
    claim: (name, controller) => {
      const slot = getSlot(name);
      if (slot.owner !== undefined) {
        const message = `${controller} cannot claim section ${String(name)}: already claimed by ${slot.owner}`;
        throw new FailureError({ kind: 'sectionClaimed', message, section: String(name) });
      }
      slot.owner = controller;
      return {
        section: sections[name],
        publishChange: () => {
          for (const listener of slot.listeners) listener();
        },
        handlePosts: (handler) => {
          slot.handler = handler;
        },
      };
    },
    subscribe: (name, listener) => {
      const { listeners } = getSlot(name);
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    post: (name, post) => {
      getSlot(name).handler?.(post as never);
    },
    listUnclaimed: () => [...slots].filter(([, slot]) => slot.owner === undefined).map(([name]) => name),
  };
}
