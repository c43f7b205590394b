import { afterEach, describe, expect, it, vi } from 'vitest';
import { WebSocket } from 'ws';
import type { LinkMessage } from '@savorywind/model';
import { reservePort } from '@savorywind/stand-ins';
import { LINK_PATH, LINK_PROTOCOL_VERSION, MAX_QUEUED_FRAMES } from '../../src/links/consts.js';
import { FrameCodec } from '../../src/links/frame-codec.js';
import { createVm, startLinks, type RunningLinks } from '../fixtures/links.js';

const WAIT = { timeout: 20_000, interval: 10 };
const MESSAGES = 200;

const startedLinks: RunningLinks[] = [];

const startPair = async (): Promise<[RunningLinks, RunningLinks]> => {
  const lower = await startLinks(createVm('a', await reservePort()));
  const higher = await startLinks(createVm('b', await reservePort()));
  startedLinks.push(lower, higher);
  return [lower, higher];
};

const waitLinked = (lower: RunningLinks, higher: RunningLinks): Promise<void> =>
  vi.waitFor(() => {
    expect(lower.opened.has(higher.vm.id)).toBe(true);
    expect(higher.opened.has(lower.vm.id)).toBe(true);
  }, WAIT);

const createMessage = (index: number): LinkMessage => ({
  kind: 'request.probe',
  requestId: `request-${index}`,
});

/** Opens a raw WebSocket connection to the links of an entry VM. */
const openSocket = async (target: RunningLinks): Promise<WebSocket> => {
  const socket = new WebSocket(`ws://127.0.0.1:${target.vm.link.port}${LINK_PATH}`);
  await new Promise((resolve) => {
    socket.once('open', resolve);
  });
  return socket;
};

const waitClosed = (socket: WebSocket): Promise<void> =>
  vi.waitFor(() => expect(socket.readyState).toBe(WebSocket.CLOSED), WAIT);

describe('EntryLinks', () => {
  afterEach(() => {
    startedLinks.splice(0).forEach(({ links }) => links.stop());
  });

  it('opens a single link if both ends request one, and delivers messages in order', async () => {
    const [lower, higher] = await startPair();
    lower.links.open(higher.vm);
    higher.links.open(lower.vm);
    await waitLinked(lower, higher);
    const sent = Array.from({ length: MESSAGES }, (_, index) => createMessage(index));
    sent.forEach((message) => lower.links.send('b', message));
    sent.forEach((message) => higher.links.send('a', message));
    await vi.waitFor(() => expect(higher.messages).toEqual(sent), WAIT);
    await vi.waitFor(() => expect(lower.messages).toEqual(sent), WAIT);
    expect(lower.events.filter(({ kind }) => kind === 'link.opened')).toHaveLength(1);
  });

  it('lets the higher id connect if the lower one does not know of it', async () => {
    const [lower, higher] = await startPair();
    higher.links.open(lower.vm);
    await waitLinked(lower, higher);
  });

  it('reconnects when the peer restarts as a new incarnation', async () => {
    const [lower, higher] = await startPair();
    lower.links.open(higher.vm);
    await waitLinked(lower, higher);
    higher.links.stop();
    await vi.waitFor(() => expect(lower.opened.size).toBe(0), WAIT);
    const next = await startLinks({ ...higher.vm, incarnation: 2 });
    startedLinks.push(next);
    await waitLinked(lower, next);
  });

  it('stays closed after close', async () => {
    const [lower, higher] = await startPair();
    lower.links.open(higher.vm);
    await waitLinked(lower, higher);
    lower.links.close('b');
    await vi.waitFor(() => expect(higher.opened.size).toBe(0), WAIT);
    expect(lower.events.at(-1)).toEqual({ kind: 'link.closed', peer: 'b' });
  });

  it.each([
    ['an invalid hello frame', [Buffer.from([0xc1])]],
    [
      'a hello frame of another protocol version',
      [new FrameCodec().encode({ protocol: LINK_PROTOCOL_VERSION + 1, vm: createVm('z', 1) })],
    ],
  ])('closes a connection with %s', async (_title, frames) => {
    const [lower] = await startPair();
    const socket = await openSocket(lower);
    frames.forEach((frame) => socket.send(frame));
    await waitClosed(socket);
    expect(lower.events).toEqual([]);
  });

  it('closes a link on a malformed message', async () => {
    const [lower] = await startPair();
    const socket = await openSocket(lower);
    const codec = new FrameCodec();
    socket.send(codec.encode({ protocol: LINK_PROTOCOL_VERSION, vm: createVm('z', 1) }));
    await vi.waitFor(() => expect(lower.opened.has('z')).toBe(true), WAIT);
    socket.send(codec.encode({ kind: 'no topic' } as unknown as LinkMessage));
    await waitClosed(socket);
    expect(lower.opened.size).toBe(0);
    expect(lower.messages).toEqual([]);
  });

  it('closes the link of a peer that reads nothing when the send queue exceeds its limit', async () => {
    const [lower] = await startPair();
    const socket = await openSocket(lower);
    socket.send(new FrameCodec().encode({ protocol: LINK_PROTOCOL_VERSION, vm: createVm('z', 1) }));
    await vi.waitFor(() => expect(lower.opened.has('z')).toBe(true), WAIT);
    socket.pause();
    const largeId = 'x'.repeat(60_000);
    for (let index = 0; index < MAX_QUEUED_FRAMES * 2 && lower.opened.size > 0; index += 1) {
      lower.links.send('z', { kind: 'request.probe', requestId: largeId });
    }
    expect(lower.opened.size).toBe(0);
    socket.terminate();
  });
});
