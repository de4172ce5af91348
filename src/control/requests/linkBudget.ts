import type { Clock } from '../../core/clock.js';
import { createClientBudget, createEvictionReporter } from './clientBudget.js';
import type { BudgetedClient, ClientBudget, EvictionCounts, Evictions } from './clientBudget.js';

/**
 * - `newLinks`: connections whose peer has not said yet who it is, or was refused;
 * - `links`: the others that were opened by peers.
 */
export type LinkListener = 'newLinks' | 'links';

export interface LinkLimits {
  /** Number of connections of each kind from which on a new one takes the place of another that is not in use. */
  maxConnections: number;
  /** Maximum number of bytes that `links` hold together; `newLinks` may hold a quarter of it. */
  maxHeldBytes: number;
}

export interface LinkBudgetOptions {
  clock: Clock;
  limits?: Partial<LinkLimits>;
  reportEvictions: (listener: LinkListener, evictions: Evictions) => void;
}

/** The account of one connection. */
export interface BudgetedLink {
  /** Takes into account that the peer said who it is, and was accepted. */
  acceptHello(): void;
  /** Takes into account that a whole frame was received. */
  observeFrame(): void;
  /** Takes a change of the bytes into account that the connection holds. */
  changeHeldBytes(bytes: number): void;
  /** Removes a closed connection. */
  remove(): void;
}

/** Bounds what the connections opened by other nodes occupy. */
export interface LinkBudget {
  readonly counts: ReadonlyMap<LinkListener, EvictionCounts>;
  /** Adds a new connection. `close` is called once if the connection has to be closed. */
  add(options: { isInUse: () => boolean; close: (reason: string) => void }): BudgetedLink;
  /** Reports the connections that were closed since the last call. */
  reportEvictions(): void;
}

/** Time for a peer to say who it is (ms); it does so with its first frame. A refused one closes the connection itself. */
const HELLO_TIMEOUT_MS = 5000;
/** 1,300 nodes may connect at the same time. */
const DEFAULT_MAX_CONNECTIONS = 1312;
const DEFAULT_MAX_BYTES = 8 * 1024 * 1024;
const NEW_LINK_BYTES_SHARE = 0.25;

/**
 * Creates the budget of a node's incoming links. Connections whose peer has not said who it is have an account of their own,
 * so that they never take the place of links to known peers, however many there are.
 *
 * @example
 * const link = budget.add({ isInUse: () => lane !== undefined, close: disconnect });
 */
export function createLinkBudget(options: LinkBudgetOptions): LinkBudget {
  const { clock, limits = {} } = options;
  const { maxConnections = DEFAULT_MAX_CONNECTIONS, maxHeldBytes = DEFAULT_MAX_BYTES } = limits;
  const { now } = clock;
  const newLinks = createClientBudget({ now, maxConnections, maxHeldBytes: maxHeldBytes * NEW_LINK_BYTES_SHARE });
  // A link that is not in use was replaced by its peer, so it can go at once.
  const links = createClientBudget({ now, maxConnections, maxHeldBytes, minIdleMs: 0 });
  const reporters = (
    [
      ['newLinks', newLinks],
      ['links', links],
    ] as const
  ).map(([listener, budget]) =>
    createEvictionReporter(budget, (evictions) => {
      options.reportEvictions(listener, evictions);
    }),
  );
  const add: LinkBudget['add'] = ({ isInUse, close }) => {
    let budget: ClientBudget = newLinks;
    let heldBytes = 0;
    let movedAtMs = now();
    const client: BudgetedClient = {
      get standing() {
        if (budget === newLinks) return 'unproven';
        return isInUse() ? 'serving' : 'idle';
      },
      get heldBytes() {
        return heldBytes;
      },
      get movedAtMs() {
        return movedAtMs;
      },
      destroy: () => {
        cancelTimeout();
        close('closed for the sake of others');
      },
    };
    const cancelTimeout = clock.schedule(HELLO_TIMEOUT_MS, () => {
      budget.remove(client);
      close(`no accepted hello within ${HELLO_TIMEOUT_MS} ms`);
    });
    newLinks.add(client);
    return {
      acceptHello: () => {
        cancelTimeout();
        if (budget === links || !newLinks.connections.has(client)) return;
        newLinks.remove(client);
        budget = links;
        links.add(client);
      },
      observeFrame: () => {
        movedAtMs = now();
      },
      changeHeldBytes: (bytes) => {
        heldBytes += bytes;
        budget.change(client, bytes);
      },
      remove: () => {
        cancelTimeout();
        budget.remove(client);
      },
    };
  };
  return {
    counts: new Map<LinkListener, EvictionCounts>([
      ['newLinks', newLinks],
      ['links', links],
    ]),
    add,
    reportEvictions: () => {
      for (const report of reporters) report();
    },
  };
}
