import type { RequestId } from '../world/types.js';

/** Messages about individual requests between entry VMs. */
export interface RequestMessage {
  readonly kind: 'request.probe';
  readonly requestId: RequestId;
}
