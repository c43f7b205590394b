import { constants, openSync } from 'node:fs';
import { Socket } from 'node:net';

/** Descriptors by stream: a stream is opened once. */
const opened = new Map<number, number>();

/** Keeps the mode of a descriptor that can't be opened again. */
const openedSockets: Socket[] = [];

const openStream = (fd: number): number => {
  try {
    const { O_WRONLY, O_NONBLOCK, O_APPEND } = constants;
    // eslint-disable-next-line no-bitwise
    return openSync(`/proc/self/fd/${fd}`, O_WRONLY | O_NONBLOCK | O_APPEND);
  } catch {
    // A socket can't be opened again, and not every system has this folder.
  }
  try {
    openedSockets.push(new Socket({ fd, readable: false }).unref());
  } catch {
    // Not a stream with such a mode, for example a file, which never makes its writer wait.
  }
  return fd;
};

/**
 * Opens a standard stream of this process in a mode in which a write never waits for the reader: it fails
 * with EAGAIN if the pipe is full. The stream is opened again, so that other processes that share it don't
 * get this mode; where that isn't possible, the stream itself gets it if it can.
 *
 * @param fd number of the stream: 1 for standard output, 2 for standard error
 * @example
 * writeSync(openOutput(2), 'the last line\n');
 */
export const openOutput = (fd: 1 | 2): number => {
  const output = opened.get(fd) ?? openStream(fd);
  opened.set(fd, output);
  return output;
};
