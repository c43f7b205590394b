/** Memory of a VM whose settings name none, in bytes: the smallest one. */
export const DEFAULT_VM_BYTES = 250_000_000;

/** Descriptors of a VM whose settings name none. */
export const DEFAULT_VM_DESCRIPTORS = 4_100;

/**
 * Memory that nothing is counted against, in bytes: the process at rest, young objects, and what connections
 * to endpoints, the store and peers take.
 */
export const UNCOUNTED_BYTES = 120_000_000;

/**
 * Part of the other memory that is given out. What is released stays in the process until the collector
 * finds it, and takes as much again meanwhile.
 */
export const COUNTED_FRACTION = 0.5;

/** Part of the memory that is given out that heads may take which are not yet complete. */
export const HEAD_FRACTION = 0.25;

/**
 * Part of the memory that is given out that responses may take which are buffered until they are complete. Where
 * it is used up they are sent on as they arrive, so that endpoints that send no end refuse nobody.
 */
export const RESPONSE_FRACTION = 0.25;

/** Part of the memory that is given out that responses may take which wait for callers that read slowly. */
export const READER_FRACTION = 0.5;

/**
 * Part of the memory that is given out that may be taken by what endpoints have sent and is not parsed yet. Where
 * it is used up it is parsed at once.
 */
export const UNPARSED_FRACTION = 0.5;

/** Most that is read of a connection at once, in bytes. */
export const READ_BYTES = 65_536;

/** Descriptors that the platform reserves for files. */
export const FILE_DESCRIPTORS = 200;

/** Part of the sockets that is left for connections to endpoints, the store and peers. */
export const OUTGOING_FRACTION = 1 / 6;

/** Part of the sockets that is left for connections of peers. */
export const PEER_FRACTION = 1 / 32;

/**
 * Fixed price of a request, in bytes: its objects in the HTTP server, in the state machine and at the attempt,
 * from its head to the end of its response.
 */
export const REQUEST_PRICE_BYTES = 16_384;

/** Price of a byte of a complete head, in bytes: as text, as lists of fields, and as what is sent on. */
export const HEAD_BYTE_PRICE = 4;

/** Price of a field of a complete head besides its bytes, in bytes: entries of a list and of a table, and texts. */
export const FIELD_PRICE_BYTES = 96;

/**
 * Price of a byte of a head that is not yet complete, in bytes: a field of five bytes makes two strings and
 * two entries of a list.
 */
export const UNFINISHED_HEAD_BYTE_PRICE = 12;

/** Bytes of a head that the parser is given before the head is complete. */
export const PARSED_HEAD_BYTES = 1_024;

/** Price of a byte of an unfinished head that the parser is not given yet: a buffer up to twice its size. */
export const UNPARSED_BYTE_PRICE = 2;
