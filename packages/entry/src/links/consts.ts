/** Version of the link protocol; both ends must use the same one. */
export const LINK_PROTOCOL_VERSION = 1;

/** Path of the WebSocket endpoint for links. */
export const LINK_PATH = '/links';

/** Largest frame accepted from a peer, in bytes. */
export const MAX_FRAME_BYTES = 8_388_608;

/** Frames that may be queued for a slow peer; one more closes the link. */
export const MAX_QUEUED_FRAMES = 4_096;

/** Bytes that may be queued for a slow peer; one more closes the link. */
export const MAX_QUEUED_BYTES = 16_777_216;

/** Connections that may be open without having received the peer's hello frame. */
export const MAX_PENDING_HELLOS = 512;

/** Timeout for the TCP connection and the WebSocket handshake together, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Time within which the peer's hello frame must arrive on an open connection, in milliseconds. */
export const HELLO_TIMEOUT_MS = 3_000;

/** Time without received frames after which a link is closed, in milliseconds. */
export const IDLE_TIMEOUT_MS = 30_000;

/** Interval at which links are checked for idleness, in milliseconds. */
export const IDLE_CHECK_INTERVAL_MS = 5_000;

/** Time that the entry VM with the higher id waits for the other one to connect, in milliseconds. */
export const CONNECT_GRACE_MS = 1_500;

/** Upper bound of the first reconnection backoff, in milliseconds; doubles with each attempt. */
export const BACKOFF_BASE_MS = 200;

/** Largest upper bound of the backoff between reconnections, in milliseconds. */
export const BACKOFF_MAX_MS = 5_000;
