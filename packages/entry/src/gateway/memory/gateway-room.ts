import { logEvents, type LogEvent, type LogFields } from '@savorywind/model';
import { ParsingTurns } from '../callers/parsing-turns.js';
import { CallerConnections } from './caller-connections.js';
import { computeRoomLimits } from './compute-room-limits.js';
import { READER_FRACTION, RESPONSE_FRACTION, UNPARSED_FRACTION } from './consts.js';
import { MemoryBudget } from './memory-budget.js';
import { MemoryShare } from './memory-share.js';
import { ShortageMonitor, type Refusals } from './shortage-monitor.js';
import { SlowReaders } from './slow-readers.js';
import type { RoomLimits, ShortageReason, VmLimits } from './types.js';
import { UnfinishedBodies } from './unfinished-bodies.js';

const UNKNOWN_LIMITS: VmLimits = { memoryBytes: undefined, descriptors: undefined };

/**
 * The room of one entry VM: its memory and its connections, what is used of them, and what was refused for
 * want of them.
 *
 * @example
 * const room = new GatewayRoom(settings.limits, writeLog);
 * room.memory.reserve(16_384);
 */
export class GatewayRoom {
  readonly limits: RoomLimits;

  readonly memory: MemoryBudget;

  /** Requests whose bodies are read, which make room for others. */
  readonly bodies: UnfinishedBodies;

  /** Part of the memory for responses that are buffered until they are complete. */
  readonly responses: MemoryShare;

  /** Responses that wait for callers that read slowly. */
  readonly readers: SlowReaders;

  /** Part of the memory for what endpoints have sent and is not parsed yet. */
  readonly unparsed: MemoryShare;

  /** Turns in which what endpoints send is parsed. */
  readonly responseTurns = new ParsingTurns();

  readonly connections: CallerConnections;

  private readonly monitor: ShortageMonitor;

  /** @param vmLimits undefined if the settings name none */
  constructor(
    vmLimits: VmLimits | undefined,
    writeLog: (event: LogEvent, fields: LogFields) => void,
  ) {
    this.limits = computeRoomLimits(vmLimits ?? UNKNOWN_LIMITS);
    const { memoryBytes, headBytes, callerConnections, peerConnections } = this.limits;
    this.memory = new MemoryBudget(memoryBytes);
    this.responses = new MemoryShare(this.memory, memoryBytes * RESPONSE_FRACTION);
    this.unparsed = new MemoryShare(this.memory, memoryBytes * UNPARSED_FRACTION);
    this.monitor = new ShortageMonitor({
      onBegun: (reason) => writeLog(logEvents.roomShort, { reason, ...this.describeUse() }),
      onEnded: (refused, durationS) =>
        writeLog(logEvents.roomRegained, { ...refused, durationS, ...this.describeUse() }),
    });
    this.readers = new SlowReaders({
      budget: this.memory,
      maxBytes: memoryBytes * READER_FRACTION,
      onClosed: () => this.recordRefusal('readers'),
    });
    this.bodies = new UnfinishedBodies({
      budget: this.memory,
      onRefused: () => this.recordRefusal('bodies'),
    });
    this.connections = new CallerConnections({
      budget: this.memory,
      headBytes,
      maxConnections: { callers: callerConnections, peers: peerConnections },
      onRefused: (reason) => this.recordRefusal(reason),
    });
  }

  /** What was refused since the start of the process. */
  get refusals(): Refusals {
    return this.monitor.refusals;
  }

  /** Counts something that was refused for want of room. */
  recordRefusal(reason: ShortageReason): void {
    this.monitor.record(reason);
  }

  stop(): void {
    this.monitor.stop();
  }

  private describeUse(): LogFields {
    return {
      memoryBytes: this.memory.usedBytes,
      callerConnections: this.connections.count('callers'),
      peerConnections: this.connections.count('peers'),
    };
  }
}
