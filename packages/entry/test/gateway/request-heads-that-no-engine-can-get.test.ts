import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { startRawServer, startTestGateway, type TestGateway } from '../fixtures/test-gateway.js';
import { ThrownErrors } from '../fixtures/thrown-errors.js';

const OK = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nX-Try: t1\r\nContent-Length: 4\r\n\r\ndone';

let thrown: ThrownErrors;
let gateway: TestGateway;
let runs: string[];
let closeEndpoint = (): void => {};

beforeEach(async () => {
  thrown = new ThrownErrors();
  runs = [];
  const endpoint = await startRawServer((socket) =>
    socket.on('data', (bytes) => {
      runs.push(bytes.toString('latin1'));
      socket.write(OK);
    }),
  );
  closeEndpoint = endpoint.close;
  gateway = await startTestGateway([endpoint.port]);
});

afterEach(() => {
  gateway.process.stopImmediately();
  closeEndpoint();
  thrown.stop();
});

/** Sends bytes on a connection of their own, and reads until it ends or nothing has come for a while. */
const sendBytes = (bytes: string, idleMs = 300): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(gateway.port, '127.0.0.1');
    let received = '';
    let timer = setTimeout(() => socket.destroy(), 2_000);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      clearTimeout(timer);
      timer = setTimeout(() => socket.destroy(), idleMs);
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
    socket.write(bytes, 'latin1');
  });

const createGet = (path: string, fields = ''): string =>
  `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Try: t1\r\n${fields}\r\n`;

// Guards against one request of one caller that ends the process, and the requests of all.
describe('a request whose head can not be passed on', () => {
  it.each([
    ['a tab in the path', createGet('/a\tb')],
    ['a form feed in the path', createGet('/a\fb')],
    ['a tab in the query', createGet('/a?b=\tc')],
    ['an empty name', createGet('/a', ': 1\r\n')],
    ['a name with a space', createGet('/a', 'no header: 1\r\n')],
    ['a name that ends with a space', createGet('/a', 'X-A : 1\r\n')],
    ['a name with a byte beyond ASCII', createGet('/a', 'n\u00e9: 1\r\n')],
    ['a value with a null', createGet('/a', 'X-A: a\0b\r\n')],
    ['a value with a control character', createGet('/a', 'X-A: a\u0001b\r\n')],
    ['an id with a delete character', createGet('/a', 'Last-Event-Id: 1\u007f\r\n')],
    ['a method that is none', createGet('/a').replace('GET', 'G\u00c9T')],
    ['a method in lower case', createGet('/a').replace('GET', 'get')],
    ['QUERY', createGet('/a').replace('GET', 'QUERY')],
    ['two targets', createGet('/a /b')],
    ['a host with a control character', createGet('/a').replace('shop.', 'shop\u0001.')],
    [
      'a body, and a name with a space',
      'POST /a HTTP/1.1\r\nHost: shop.example\r\nno header: 1\r\nContent-Length: 4\r\n\r\nbody',
    ],
  ])('gets 400 and runs nowhere: %s', async (_name, bytes) => {
    const [received, ...others] = await Promise.all([
      sendBytes(bytes),
      ...Array.from({ length: 4 }, () => sendBytes(createGet('/sound'))),
    ]);
    expect(received).toMatch(/^HTTP\/1\.1 400 /);
    expect(thrown.errors).toEqual([]);
    others.forEach((text) => expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\n.*done$/s));
    expect(runs.filter((run) => !run.startsWith('GET /sound '))).toEqual([]);
  });

  it('gets 400 behind a sound one on the same connection, which is answered', async () => {
    const received = await sendBytes(`${createGet('/sound')}${createGet('/a\tb')}`);
    expect(received).toMatch(/^HTTP\/1\.1 200 OK\r\n.*\r\n\r\ndoneHTTP\/1\.1 400 /s);
    expect(runs).toHaveLength(1);
    expect(thrown.errors).toEqual([]);
  });
});

describe('a request whose head can be passed on', () => {
  it.each([
    ['a target with bytes beyond ASCII', createGet('/caf\u00e9?x=%20')],
    ['an absolute target', createGet('http://shop.example/a')],
    ['odd names', createGet('/a', 'X-!#$%&: 1\r\nx_y.z: 2\r\n')],
    ['values with tabs and bytes beyond ASCII', createGet('/a', 'X-A: a\tb \u00e9\r\n')],
    ['an empty value', createGet('/a', 'Last-Event-Id:\r\n')],
    ['a repeated name', createGet('/a', 'X-A: 1\r\nX-A: 2\r\n')],
    ['PATCH', createGet('/a').replace('GET', 'PATCH')],
    ['M-SEARCH', createGet('/a').replace('GET', 'M-SEARCH')],
  ])('reaches its engine with the same target and fields: %s', async (_name, bytes) => {
    const isOdd = bytes.includes('http://');
    const received = await sendBytes(bytes);
    expect(received).toMatch(isOdd ? /^HTTP\/1\.1 (200|404) / : /^HTTP\/1\.1 200 /);
    if (!isOdd) {
      const [line, ...fields] = bytes.split('\r\n');
      expect(runs[0]).toContain(`${line}\r\n`);
      fields.forEach((field) => expect(runs[0]).toContain(field.replace(/:$/, ': ')));
    }
    expect(thrown.errors).toEqual([]);
  });
});
