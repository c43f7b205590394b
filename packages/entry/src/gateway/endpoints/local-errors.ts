/** Errors of a connection that this machine causes: it has no descriptor, port or memory for it. */
const LOCAL_ERRORS: ReadonlySet<string> = new Set([
  'EADDRNOTAVAIL',
  'EAGAIN',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Whether a connection could not be opened for want of something on this machine. */
export const isLocalError = ({ code }: NodeJS.ErrnoException): boolean =>
  code !== undefined && LOCAL_ERRORS.has(code);
