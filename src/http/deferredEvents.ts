/** What an event of the request parser is: the head of a request, a part or the end of its body, or a fault. */
export type RequestEventKind = 'head' | 'bodyPart' | 'fault';

interface DeferredEvent {
  kind: RequestEventKind;
  heldBytes: number;
  run: () => void;
}

/** Parser events of pipelined requests that wait, in their order, until requests before them are answered. */
export interface DeferredEvents {
  readonly length: number;
  /** Estimated memory of the waiting events. */
  readonly heldBytes: number;
  /** Runs an event at once if it is ready and none waits; otherwise retains it. */
  runOrDefer(kind: RequestEventKind, dataBytes: number, run: () => void): void;
  /** Runs the waiting events that are ready. */
  runReady(): void;
  clear(): void;
}

/** Estimated memory of a deferred event beyond its headers or its part of a body. */
const EVENT_OVERHEAD_BYTES = 256;

/** Creates the events of one connection. */
export function createDeferredEvents(isReady: (kind: RequestEventKind) => boolean): DeferredEvents {
  const events: DeferredEvent[] = [];
  let heldBytes = 0;
  return {
    get length() {
      return events.length;
    },
    get heldBytes() {
      return heldBytes;
    },
    runOrDefer: (kind, dataBytes, run) => {
      if (events.length === 0 && isReady(kind)) {
        run();
        return;
      }
      const event = { kind, heldBytes: EVENT_OVERHEAD_BYTES + dataBytes, run };
      events.push(event);
      heldBytes += event.heldBytes;
    },
    runReady: () => {
      for (;;) {
        const event = events[0];
        if (event === undefined || !isReady(event.kind)) return;
        events.shift();
        heldBytes -= event.heldBytes;
        event.run();
      }
    },
    clear: () => {
      events.length = 0;
      heldBytes = 0;
    },
  };
}
