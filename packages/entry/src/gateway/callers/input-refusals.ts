import { STATUS_CODES } from 'node:http';

const HTTP_BAD_REQUEST = 400;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_CONTENT_TOO_LARGE = 413;
export const HTTP_HEADERS_TOO_LARGE = 431;

/** Errors of the parser begin with it. */
const PARSE_ERROR_PREFIX = 'HPE_';

/** Statuses for faults of the input other than malformed bytes. */
const FAULT_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: HTTP_HEADERS_TOO_LARGE,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: HTTP_CONTENT_TOO_LARGE,
  ERR_HTTP_REQUEST_TIMEOUT: HTTP_REQUEST_TIMEOUT,
};

/**
 * Finds the status with which input is refused that is no request.
 *
 * @returns undefined if the connection itself has failed, so that nothing can be sent
 */
export const findInputStatus = (code: string | undefined): number | undefined => {
  if (code === undefined) return undefined;
  const status = FAULT_STATUS[code];
  if (status !== undefined) return status;
  return code.startsWith(PARSE_ERROR_PREFIX) ? HTTP_BAD_REQUEST : undefined;
};

/**
 * Renders the response to input that is not served as a request, the last one of its connection.
 *
 * @example
 * socket.end(renderInputRefusal(400));
 */
export const renderInputRefusal = (status: number): string =>
  `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
