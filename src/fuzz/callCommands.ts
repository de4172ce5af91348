import * as fc from 'fast-check';
import { FUZZ_DATA_CENTERS, FUZZ_HOSTS } from './callSystem.js';
import type { CallSystem } from './callSystem.js';

/** Commands are checked against the world alone, so the model holds nothing. */
export type CallModel = Record<string, never>;
export type CallCommand = fc.Command<CallModel, CallSystem>;

const MAX_COMMANDS = 40;
const LOST_FRAMES = ['call', 'answer', 'refusal', 'cancel', 'members'] as const;

function createCommand(text: string, run: (world: CallSystem) => void): CallCommand {
  return {
    check: () => true,
    run: (_model, world) => {
      run(world);
    },
    toString: () => text,
  };
}

const host = fc.constantFrom(...FUZZ_HOSTS);
const place = fc.constantFrom(...FUZZ_HOSTS, ...FUZZ_DATA_CENTERS);
const index = fc.nat({ max: 30 });

function createHostCommand(name: string, run: (world: CallSystem, chosen: string) => void): fc.Arbitrary<CallCommand> {
  return host.map((chosen) =>
    createCommand(`${name} ${chosen}`, (world) => {
      run(world, chosen);
    }),
  );
}

function createRequestCommand(
  name: string,
  run: (world: CallSystem, position: number, chosen: string) => void,
): fc.Arbitrary<CallCommand> {
  return fc.tuple(index, host).map(([position, chosen]) =>
    createCommand(`${name} ${position} ${chosen}`, (world) => {
      if (world.requests.length > 0) run(world, position % world.requests.length, chosen);
    }),
  );
}

/** A command on one of the hosts whose target is at work, since faults matter most there. */
function createBusyCommand(name: string, run: (world: CallSystem, chosen: string) => void): fc.Arbitrary<CallCommand> {
  return fc.nat({ max: 3 }).map((position) =>
    createCommand(`${name} busy ${position}`, (world) => {
      const busy = FUZZ_HOSTS.filter((name) => (world.fleet.hosts.get(name)?.target?.busySlots ?? 0) > 0);
      const chosen = busy[position % Math.max(1, busy.length)];
      if (chosen !== undefined) run(world, chosen);
    }),
  );
}

const sendNew = fc.tuple(host, fc.constantFrom('order', 'browse'), fc.boolean()).map(([chosen, operation, hasTicket]) =>
  createCommand(`send ${operation} ${chosen}${hasTicket ? ' ticket' : ''}`, (world) => {
    world.sendNew(chosen, operation as 'order' | 'browse', { hasTicket: hasTicket && operation === 'order' });
  }),
);
const sendAgain = createRequestCommand('send again', (world, position, chosen) => {
  const request = world.requests[position];
  if (request?.ticket !== undefined) world.sendAgain(request, chosen);
});
const leave = createRequestCommand('leave', (world, position) => {
  const request = world.requests[position];
  if (request !== undefined) world.cancelSend(request);
});
const dropFrames = fc.tuple(fc.constantFrom(...LOST_FRAMES), fc.integer({ min: 1, max: 5 })).map(([type, count]) =>
  createCommand(`lose ${count} ${type}`, ({ fleet }) => {
    fleet.network.dropFrames(type, count);
  }),
);
const cut = fc.tuple(place, place, fc.boolean()).map(([from, to, oneWay]) =>
  createCommand(`cut ${from} ${to}${oneWay ? ' one way' : ''}`, ({ fleet }) => {
    if (from !== to) fleet.network.cut(from, to, { oneWay });
  }),
);
const heal = fc.tuple(place, place).map(([from, to]) =>
  createCommand(`heal ${from} ${to}`, ({ fleet }) => {
    fleet.network.heal(from, to);
  }),
);
const advance = fc.constantFrom(1, 3, 10, 50, 300, 1000, 2500).map((durationMs) =>
  createCommand(`advance ${durationMs}`, ({ fleet }) => {
    fleet.clock.advance(durationMs);
  }),
);

/** Lists of commands in any order; several without an `advance` between them happen at the same time. */
export const callCommands = fc.commands(
  [
    sendNew,
    sendNew,
    sendAgain,
    sendAgain,
    leave,
    advance,
    advance,
    dropFrames,
    cut,
    heal,
    createHostCommand('kill', (world, chosen) => {
      world.killHost(chosen);
    }),
    createHostCommand('start', (world, chosen) => {
      world.startHost(chosen);
    }),
    createHostCommand('pause', (world, chosen) => {
      world.pauseHost(chosen);
    }),
    createHostCommand('resume', (world, chosen) => {
      world.resumeHost(chosen);
    }),
    createHostCommand('drain', (world, chosen) => {
      world.drainTarget(chosen);
    }),
    createHostCommand('crash', (world, chosen) => {
      world.crashTarget(chosen);
    }),
    createHostCommand('restart target', (world, chosen) => {
      world.restartTarget(chosen);
    }),
    createHostCommand('stop', (world, chosen) => {
      world.stopHost(chosen);
    }),
    createBusyCommand('stop', (world, chosen) => {
      world.stopHost(chosen);
    }),
    createBusyCommand('kill', (world, chosen) => {
      world.killHost(chosen);
    }),
    createBusyCommand('drain', (world, chosen) => {
      world.drainTarget(chosen);
    }),
    createBusyCommand('pause', (world, chosen) => {
      world.pauseHost(chosen);
    }),
  ],
  { maxCommands: MAX_COMMANDS, size: 'max' },
);
