import { createServer, request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { reservePort } from '@savorywind/stand-ins';
import { afterEach, describe, expect, it } from 'vitest';
import { startTestFleet, type RunningMember } from '../fixtures/test-fleet.js';

/** Guards against RECOVER: an entry VM that reached no endpoint refused its callers. */

const HOST = '127.0.0.1';

/** Time for peers to exchange their first snapshots, in milliseconds. */
const INTRODUCTION_MS = 600;

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

interface Endpoint {
  readonly port: number;
  /** Bodies of the requests that it ran. */
  readonly runs: string[];
}

const startEndpoint = async (): Promise<Endpoint> => {
  const runs: string[] = [];
  const server: Server = createServer((incoming, outgoing) => {
    let body = '';
    incoming.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    incoming.on('end', () => {
      runs.push(body);
      outgoing.writeHead(200, { 'X-Receipt': 'r', 'X-Try': incoming.headers['x-try'] ?? '' });
      outgoing.end(`done ${body}`);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return { port: (server.address() as AddressInfo).port, runs };
};

interface Answer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const post = (port: number, body: string): Promise<Answer> =>
  new Promise((resolve, reject) => {
    const headers = { Host: 'shop.example', 'X-Try': body, 'X-Waits': '2000' };
    request({ host: HOST, port, path: '/a', method: 'POST', headers, agent: false }, (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      response.on('end', () =>
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text }),
      );
    })
      .on('error', reject)
      .end(body);
  });

/** Starts two entry VMs; the connections of the first one to all endpoints are refused. */
const startFleet = async (endpoint: Endpoint): Promise<RunningMember[]> => {
  const refused = await Promise.all([reservePort(), reservePort(), reservePort()]);
  const ids = refused.map((_, index) => `engine-${index}`);
  const cut = Object.fromEntries(ids.map((id, index) => [id, refused[index]!]));
  const open = Object.fromEntries(ids.map((id) => [id, endpoint.port]));
  const members = await startTestFleet([{ endpoints: cut }, { endpoints: open }]);
  members.forEach((member) => closers.push(() => member.process.stopImmediately()));
  await delay(INTRODUCTION_MS);
  return members;
};

describe('an entry VM that reaches no endpoint (RECOVER)', () => {
  it('has its callers served at the first attempt', async () => {
    const endpoint = await startEndpoint();
    const [cut] = await startFleet(endpoint);
    const answers = [await post(cut!.port, 'first'), await post(cut!.port, 'second')];
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
    expect(answers.map(({ body }) => body)).toEqual(['done first', 'done second']);
    expect(endpoint.runs).toEqual(['first', 'second']);
  });
});
