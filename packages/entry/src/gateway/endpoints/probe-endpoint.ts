import { connect } from 'node:net';
import type { ProbeOutcome } from '@savorywind/decisions';
import type { NetworkAddress } from '@savorywind/model';

/** Errors that come from the path or from the endpoint, and not from a lack of local resources. */
const PATH_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTDOWN',
  'EHOSTUNREACH',
  'ENETDOWN',
  'ENETUNREACH',
  'EPIPE',
  'ETIMEDOUT',
]);

/**
 * Opens a connection to an endpoint and closes it at once.
 *
 * @param timeoutMs time for the connection to open, in milliseconds
 * @param onProbed called once with the outcome
 * @example
 * probeEndpoint({ host: '10.0.0.1', port: 8_000 }, 350, (outcome) => console.log(outcome));
 */
export const probeEndpoint = (
  { host, port }: NetworkAddress,
  timeoutMs: number,
  onProbed: (outcome: ProbeOutcome) => void,
): void => {
  const socket = connect({ host, port });
  let timer: NodeJS.Timeout | undefined;
  let isEnded = false;
  const end = (outcome: ProbeOutcome): void => {
    if (isEnded) return;
    isEnded = true;
    clearTimeout(timer);
    socket.destroy();
    onProbed(outcome);
  };
  // A process that gets no processor time for a while must not take this for a timeout: connections that
  // were opened meanwhile are reported before the check.
  timer = setTimeout(() => setImmediate(() => end('failed')), timeoutMs);
  socket.on('connect', () => end('connected'));
  socket.on('error', ({ code = '' }: NodeJS.ErrnoException) =>
    end(PATH_ERRORS.has(code) ? 'failed' : 'unknown'),
  );
};
