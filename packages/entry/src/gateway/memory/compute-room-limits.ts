import {
  COUNTED_FRACTION,
  DEFAULT_VM_BYTES,
  DEFAULT_VM_DESCRIPTORS,
  FILE_DESCRIPTORS,
  HEAD_FRACTION,
  OUTGOING_FRACTION,
  PEER_FRACTION,
  UNCOUNTED_BYTES,
} from './consts.js';
import type { RoomLimits, VmLimits } from './types.js';

/**
 * Computes what the gateway takes of its VM at most. `docs/design/memory.md` has the table of prices and
 * their sum.
 *
 * @example
 * computeRoomLimits({ memoryBytes: 350_000_000, descriptors: 4_100 }).memoryBytes; // 115_000_000
 */
export const computeRoomLimits = ({
  memoryBytes: vmBytes = DEFAULT_VM_BYTES,
  descriptors = DEFAULT_VM_DESCRIPTORS,
}: VmLimits): RoomLimits => {
  const memoryBytes = Math.floor(Math.max(0, vmBytes - UNCOUNTED_BYTES) * COUNTED_FRACTION);
  const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
  const peerConnections = Math.ceil(sockets * PEER_FRACTION);
  const outgoing = Math.ceil(sockets * OUTGOING_FRACTION);
  return {
    memoryBytes,
    headBytes: Math.floor(memoryBytes * HEAD_FRACTION),
    callerConnections: Math.max(0, sockets - peerConnections - outgoing),
    peerConnections,
  };
};
