/** Version of the protocol on links; both ends must speak the same one. */
export const LINK_PROTOCOL = 1;

/** Path of the WebSocket endpoint for links. */
export const LINK_PATH = '/links';

/** Largest frame taken from a peer, in bytes. */
export const MAX_FRAME_BYTES = 8_388_608;

/** Frames that may wait for a slow peer; one more closes the link. */
export const MAX_QUEUED_FRAMES = 4_096;

/** Bytes that may wait for a slow peer; one more closes the link. */
export const MAX_QUEUED_BYTES = 16_777_216;

/** Connections that have not said hello yet. */
export const MAX_UNGREETED_CONNECTIONS = 512;

/** Time for the TCP connection and the WebSocket handshake, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Time from the open connection to the peer's hello, in milliseconds. */
export const HELLO_TIMEOUT_MS = 3_000;

/** A link on which nothing came for so long is closed, in milliseconds. */
export const IDLE_TIMEOUT_MS = 30_000;

/** How often links are checked for idleness, in milliseconds. */
export const IDLE_CHECK_MS = 5_000;

/** The entry VM with the higher id waits so long for the other to dial, in milliseconds. */
export const DIAL_GRACE_MS = 1_500;

/** Back-off between attempts to dial: full jitter below a limit that doubles. */
export const BACK_OFF_BASE_MS = 200;
export const BACK_OFF_LIMIT_MS = 5_000;
