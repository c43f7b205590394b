import type { Gauge } from '../../observe/render-metrics.js';
import type { GatewayRoom } from '../memory/gateway-room.js';

/** Lists what shows how much of the VM's memory and connections is used, and what was refused for want of them. */
export const listRoomGauges = ({
  memory,
  connections,
  readers,
  limits,
  refusals,
}: GatewayRoom): Gauge[] => [
  {
    metric: 'savorywind_counted_memory_bytes',
    help: 'Memory of requests, bodies, unfinished heads and buffered responses, by their prices.',
    value: memory.usedBytes,
  },
  {
    metric: 'savorywind_counted_memory_limit_bytes',
    help: 'Counted memory from which on new requests are refused.',
    value: memory.maxBytes,
  },
  {
    metric: 'savorywind_unfinished_heads_bytes',
    help: 'Memory of request heads that are not complete, by their price; part of the counted memory.',
    value: connections.unfinishedHeadBytes,
  },
  {
    metric: 'savorywind_slow_readers_bytes',
    help: 'Memory of responses that wait for callers that read slowly; part of the counted memory.',
    value: readers.usedBytes,
  },
  {
    metric: 'savorywind_open_connections',
    help: 'Open connections of callers and of peers.',
    value: [
      { labels: { side: 'callers' }, value: connections.count('callers') },
      { labels: { side: 'peers' }, value: connections.count('peers') },
    ],
  },
  {
    metric: 'savorywind_open_connections_limit',
    help: 'Open connections from which on new ones are refused.',
    value: [
      { labels: { side: 'callers' }, value: limits.callerConnections },
      { labels: { side: 'peers' }, value: limits.peerConnections },
    ],
  },
  {
    metric: 'savorywind_room_refusals_total',
    help: 'What was refused for want of memory, connections or descriptors, by reason.',
    type: 'counter',
    value: Object.entries(refusals).map(([reason, value]) => ({ labels: { reason }, value })),
  },
];
