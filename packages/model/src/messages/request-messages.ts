import type { RequestId } from '../entities/types.js';

/** Messages about individual requests between entry VMs. */
export interface RequestMessage {
  readonly kind: 'request.probe';
  readonly requestId: RequestId;
}
