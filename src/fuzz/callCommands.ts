import * as fc from 'fast-check';
import { FUZZ_DATA_CENTERS, FUZZ_HOSTS } from './callSystem.js';
import type { CallSystem } from './callSystem.js';

/** The oracle of the system under test does all checks, so the model is empty. */
export type CallModel = Record<string, never>;
export type CallCommand = fc.Command<CallModel, CallSystem>;

const MAX_COMMANDS = 40;
const DROPPED_FRAME_TYPES = ['call', 'answer', 'refusal', 'cancel', 'members'] as const;

/** Creates a command; fast-check prints `text` in a failing sequence. */
function createCommand(text: string, run: (system: CallSystem) => void): CallCommand {
  return {
    check: () => true,
    run: (_model, system) => {
      run(system);
    },
    toString: () => text,
  };
}

const host = fc.constantFrom(...FUZZ_HOSTS);
const hostOrDataCenter = fc.constantFrom(...FUZZ_HOSTS, ...FUZZ_DATA_CENTERS);
const index = fc.nat({ max: 30 });

function createHostCommand(name: string, run: (system: CallSystem, chosen: string) => void): fc.Arbitrary<CallCommand> {
  return host.map((chosen) =>
    createCommand(`${name} ${chosen}`, (system) => {
      run(system, chosen);
    }),
  );
}

function createRequestCommand(
  name: string,
  run: (system: CallSystem, position: number, chosen: string) => void,
): fc.Arbitrary<CallCommand> {
  return fc.tuple(index, host).map(([position, chosen]) =>
    createCommand(`${name} ${position} ${chosen}`, (system) => {
      if (system.requests.length > 0) run(system, position % system.requests.length, chosen);
    }),
  );
}

/** Creates a command on one of the hosts whose target is running a call, where a fault has the largest effect. */
function createBusyCommand(name: string, run: (system: CallSystem, chosen: string) => void): fc.Arbitrary<CallCommand> {
  return fc.nat({ max: 3 }).map((position) =>
    createCommand(`${name} busy ${position}`, (system) => {
      const busy = FUZZ_HOSTS.filter((name) => (system.fleet.hosts.get(name)?.target?.busySlots ?? 0) > 0);
      const chosen = busy[position % Math.max(1, busy.length)];
      if (chosen !== undefined) run(system, chosen);
    }),
  );
}

const sendNew = fc.tuple(host, fc.constantFrom('order', 'browse'), fc.boolean()).map(([chosen, operation, hasTicket]) =>
  createCommand(`send ${operation} ${chosen}${hasTicket ? ' ticket' : ''}`, (system) => {
    system.sendNew(chosen, operation as 'order' | 'browse', { hasTicket: hasTicket && operation === 'order' });
  }),
);
const sendAgain = createRequestCommand('send again', (system, position, chosen) => {
  const request = system.requests[position];
  if (request?.ticket !== undefined) system.sendAgain(request, chosen);
});
// Printed as 'leave': the caller disconnects.
const cancelSend = createRequestCommand('leave', (system, position) => {
  const request = system.requests[position];
  if (request !== undefined) system.cancelSend(request);
});
// Printed as 'lose': frames that are lost in the network.
const dropFrames = fc
  .tuple(fc.constantFrom(...DROPPED_FRAME_TYPES), fc.integer({ min: 1, max: 5 }))
  .map(([type, count]) =>
    createCommand(`lose ${count} ${type}`, ({ fleet }) => {
      fleet.network.dropFrames(type, count);
    }),
  );
const cut = fc.tuple(hostOrDataCenter, hostOrDataCenter, fc.boolean()).map(([from, to, oneWay]) =>
  createCommand(`cut ${from} ${to}${oneWay ? ' one way' : ''}`, ({ fleet }) => {
    if (from !== to) fleet.network.cut(from, to, { oneWay });
  }),
);
const heal = fc.tuple(hostOrDataCenter, hostOrDataCenter).map(([from, to]) =>
  createCommand(`heal ${from} ${to}`, ({ fleet }) => {
    fleet.network.heal(from, to);
  }),
);
const advance = fc.constantFrom(1, 3, 10, 50, 300, 1000, 2500).map((durationMs) =>
  createCommand(`advance ${durationMs}`, ({ fleet }) => {
    fleet.clock.advance(durationMs);
  }),
);

/** Generates command sequences; commands without an `advance` between them run at the same time of the clock. */
export const callCommands = fc.commands(
  [
    sendNew,
    sendNew,
    sendAgain,
    sendAgain,
    cancelSend,
    advance,
    advance,
    dropFrames,
    cut,
    heal,
    createHostCommand('kill', (system, chosen) => {
      system.killHost(chosen);
    }),
    createHostCommand('start', (system, chosen) => {
      system.startHost(chosen);
    }),
    createHostCommand('pause', (system, chosen) => {
      system.pauseHost(chosen);
    }),
    createHostCommand('resume', (system, chosen) => {
      system.resumeHost(chosen);
    }),
    createHostCommand('drain', (system, chosen) => {
      system.drainTarget(chosen);
    }),
    createHostCommand('crash', (system, chosen) => {
      system.crashTarget(chosen);
    }),
    createHostCommand('restart target', (system, chosen) => {
      system.restartTarget(chosen);
    }),
    createHostCommand('stop', (system, chosen) => {
      system.stopHost(chosen);
    }),
    createBusyCommand('stop', (system, chosen) => {
      system.stopHost(chosen);
    }),
    createBusyCommand('kill', (system, chosen) => {
      system.killHost(chosen);
    }),
    createBusyCommand('drain', (system, chosen) => {
      system.drainTarget(chosen);
    }),
    createBusyCommand('pause', (system, chosen) => {
      system.pauseHost(chosen);
    }),
  ],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);
