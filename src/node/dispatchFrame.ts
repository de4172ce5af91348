import type { CallController } from '../control/callController.js';
import type { NodeBoard } from '../control/sections.js';
import type { Frame } from '../schema/frame.js';

export interface DispatchFrameOptions {
  board: NodeBoard;
  calls: Pick<CallController, 'receiveCall' | 'receiveReply' | 'receiveCancel'>;
  host: string;
  frame: Frame;
  respond: (frame: Frame) => void;
}

/** Passes a received frame to the section or controller that handles its type. */
export function dispatchFrame({ board, calls, host, frame, respond }: DispatchFrameOptions): void {
  board.post('links', { type: 'received', host });
  switch (frame.type) {
    case 'call':
      calls.receiveCall(host, frame, respond);
      return;
    case 'answer':
    case 'refusal':
      calls.receiveReply(frame);
      return;
    case 'cancel':
      calls.receiveCancel(host, frame.callId);
      return;
    case 'hello':
      board.post('members', { type: 'receive', host, frame, respond });
      return;
    case 'configuration':
      board.post('configuration', { documents: frame.documents, from: host });
      return;
    case 'configurationDigest':
      board.post('configuration', { digest: frame, respond });
      return;
    case 'heartbeat':
      board.post('links', { type: 'heartbeat', host, frame, respond });
      board.post('members', { type: 'receive', host, frame, respond });
      return;
    case 'members':
    case 'silence':
    case 'suspicion':
    case 'digest':
    case 'versions':
    case 'pull':
      board.post('members', { type: 'receive', host, frame, respond });
      return;
    case 'crashReport':
      board.post('quarantine', { type: 'received', report: frame, from: host });
      return;
  }
}
