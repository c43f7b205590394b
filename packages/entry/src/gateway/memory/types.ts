/** Why something new is refused for want of room. */
export type ShortageReason =
  /** Memory for one more request or its body. */
  | 'requests'
  /** Memory that others need more than a request whose body stops short of its end. */
  | 'bodies'
  /** Memory for heads that are not yet complete. */
  | 'heads'
  /** Memory for responses that wait for callers that read slowly. */
  | 'readers'
  /** The number of connections. */
  | 'connections'
  /** Descriptors for a connection to an endpoint or a peer. */
  | 'descriptors';

/** What a VM has for the gateway; undefined where the settings don't say it. */
export interface VmLimits {
  /** Memory at which the process is ended, in bytes. */
  readonly memoryBytes: number | undefined;
  /** File descriptors of the process, files and sockets together. */
  readonly descriptors: number | undefined;
}

/** What the gateway takes of a VM at most. */
export interface RoomLimits {
  /** Memory of everything that is counted, in bytes. */
  readonly memoryBytes: number;
  /** Part of it for heads that are not yet complete, in bytes. */
  readonly headBytes: number;
  /** Open connections of callers. */
  readonly callerConnections: number;
  /** Open connections of peers. */
  readonly peerConnections: number;
}
