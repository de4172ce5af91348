import { hashText, hashToUnit } from '../core/hash.js';
import type { CallerCall } from '../schema/call.js';
import { createCallFailure } from '../schema/failure.js';
import type { CallFailure } from '../schema/failure.js';
import { MAX_DEPTH } from '../schema/frame.js';
import type { CallEnvelope } from '../schema/frame.js';
import type { Operation, ServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { RunningCall } from './calls.js';
import type { NodeBoard } from './sections.js';

export type EnvelopeOutcome =
  { type: 'built'; envelope: CallEnvelope; document: ServiceConfiguration } | { type: 'failed'; failure: CallFailure };

/** Hexadecimal digits of a 32-bit hash. */
const HASH_DIGITS = 8;

/** Builds the envelope of a request that enters at this node, from the published configuration of its service. */
export function buildEntryEnvelope(board: NodeBoard, call: CallerCall, requestId: string): EnvelopeOutcome {
  const found = findOperation(board, call);
  if (found.type === 'failed') return found;
  const { operation, document } = found;
  const priority = document.priorities.find(({ name }) => name === operation.priority);
  const worth = priority?.worth ?? 0;
  const hasHighestWorth = document.priorities.length > 1 && document.priorities.every((other) => other.worth <= worth);
  const envelope: CallEnvelope = {
    requestId,
    service: call.service,
    operation: call.operation,
    idempotent: operation.idempotent,
    priority: operation.priority,
    worth,
    urgent: hasHighestWorth,
    shedKey: hashToUnit(requestId),
    callerKey: call.callerKey,
    depth: 0,
    allowance: document.retryAllowance,
    deadlineMs: Math.min(call.deadlineMs ?? operation.deadlineMs, operation.deadlineMs),
    fingerprint: computeFingerprint(call),
    contentType: call.contentType,
    body: call.body,
  };
  return { type: 'built', envelope, document };
}

/** Builds the envelope of a downstream call; it inherits the context, such as priority and shed key, of its parent. */
export function buildDownstreamEnvelope(
  board: NodeBoard,
  call: CallerCall,
  parent: RunningCall,
  nowMs: number,
): EnvelopeOutcome {
  const found = findOperation(board, call);
  if (found.type === 'failed') return found;
  const { operation, document } = found;
  const parentEnvelope = parent.envelope;
  if (parentEnvelope.depth + 1 > MAX_DEPTH) {
    return {
      type: 'failed',
      failure: createCallFailure('depthExceeded', `the call graph exceeds the maximum depth of ${MAX_DEPTH}`),
    };
  }
  if (parentEnvelope.idempotent && !operation.idempotent) {
    const message = `${parentEnvelope.service}/${parentEnvelope.operation} is idempotent and may be retried, so it must not call the non-idempotent ${call.service}/${call.operation}`;
    return { type: 'failed', failure: createCallFailure('nonIdempotentUnderIdempotent', message) };
  }
  const maxDeadlineMs = Math.min(call.deadlineMs ?? operation.deadlineMs, operation.deadlineMs);
  const envelope: CallEnvelope = {
    ...parentEnvelope,
    service: call.service,
    operation: call.operation,
    idempotent: operation.idempotent,
    depth: parentEnvelope.depth + 1,
    allowance: parent.account.remaining,
    deadlineMs: Math.min(maxDeadlineMs, parent.deadlineAtMs - nowMs),
    fingerprint: computeFingerprint(call),
    contentType: call.contentType,
    body: call.body,
  };
  delete envelope.ticket;
  return { type: 'built', envelope, document };
}

type OperationLookup =
  { type: 'found'; operation: Operation; document: ServiceConfiguration } | { type: 'failed'; failure: CallFailure };

function findOperation(board: NodeBoard, call: CallerCall): OperationLookup {
  const document = board.read('configuration').services.get(call.service)?.document as ServiceConfiguration | undefined;
  if (document === undefined) {
    return {
      type: 'failed',
      failure: createCallFailure('unknownService', `no configuration of ${call.service} is in force`),
    };
  }
  const operation = Object.hasOwn(document.operations, call.operation)
    ? document.operations[call.operation]
    : undefined;
  if (operation === undefined) {
    const message = `the configuration of ${call.service} has no operation ${call.operation}`;
    return { type: 'failed', failure: createCallFailure('unknownOperation', message) };
  }
  return { type: 'found', operation, document };
}

function computeFingerprint(call: CallerCall): string {
  const text = `${call.service}/${call.operation}/${Buffer.from(call.body).toString('latin1')}`;
  // Two seeds give 64 bits. With 32 bits, some of the thousands of live fingerprints would collide occasionally.
  const digits = [hashText(text, 1), hashText(text, 2)].map((part) => part.toString(16).padStart(HASH_DIGITS, '0'));
  return digits.join('');
}
