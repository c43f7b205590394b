import { request } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { startRawServer, startTestGateway, type TestGateway } from '../fixtures/test-gateway.js';

const RESPONSE = 'HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 4\r\n\r\ndone';

let gateway: TestGateway;
let closeEndpoint = (): void => {};

afterEach(() => {
  gateway.process.stopImmediately();
  closeEndpoint();
});

const readText = (port: number, path: string, host = 'shop.example'): Promise<string> =>
  new Promise((resolve, reject) => {
    request(
      { host: '127.0.0.1', port, path, headers: { Host: host }, agent: false },
      (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        response.on('end', () => resolve(text));
      },
    )
      .on('error', reject)
      .end();
  });

describe('metrics of the gateway', () => {
  it('count requests by team, route, prompt length and outcome, and record their times', async () => {
    const endpoint = await startRawServer((socket) =>
      socket.on('data', () => socket.write(RESPONSE)),
    );
    closeEndpoint = endpoint.close;
    gateway = await startTestGateway([endpoint.port]);
    expect(await readText(gateway.port, '/a')).toBe('done');
    await readText(gateway.port, '/a');
    await readText(gateway.port, '/a', 'unknown.example');
    const text = await readText(gateway.metricsPort, '/metrics');
    const orders = '{team="none",class="orders",band="none"';
    expect(text).toContain(`savorywind_requests_total${orders},outcome="served"} 2`);
    expect(text).toContain(`savorywind_queueing_seconds_count${orders}} 2`);
    expect(text).toContain(`savorywind_total_seconds_bucket${orders},le="+Inf"} 2`);
    expect(text).toMatch(/class="none",band="none",outcome="noRoute"} 1/);
    expect(text).toMatch(/^savorywind_requests_in_flight 0$/m);
  });

  it('show the traffic with peers beside the rate of the link, and how far the process is behind', async () => {
    gateway = await startTestGateway([]);
    const text = await readText(gateway.metricsPort, '/metrics');
    expect(text).toMatch(/^savorywind_peer_bytes_sent_total 0$/m);
    expect(text).toMatch(/^savorywind_peer_bytes_received_total 0$/m);
    expect(text).toMatch(/^savorywind_link_bytes_per_second 125000000$/m);
    expect(text).toMatch(/^savorywind_longest_timer_delay_seconds \d/m);
    expect(text).toContain('# TYPE savorywind_peer_bytes_sent_total counter');
    expect(text).toMatch(/^savorywind_store_eras_total 0$/m);
    expect(text).toMatch(/^savorywind_limited_endpoints 0$/m);
    ['leaving_endpoints', 'closed_endpoints', 'returning_endpoints'].forEach((name) =>
      expect(text).toContain(`\nsavorywind_${name} 0\n`),
    );
    ['endpoint_departures', 'endpoint_closures', 'unreadable_notices'].forEach((name) =>
      expect(text).toContain(`\nsavorywind_${name}_total 0\n`),
    );
    expect(text).toMatch(/^savorywind_attempts_at_limited_endpoints_total 0$/m);
  });

  it('do not prevent requests from being served if their port is in use', async () => {
    const endpoint = await startRawServer((socket) =>
      socket.on('data', () => socket.write(RESPONSE)),
    );
    closeEndpoint = endpoint.close;
    gateway = await startTestGateway([endpoint.port], {}, endpoint.port);
    expect(await readText(gateway.port, '/a')).toBe('done');
  });
});
