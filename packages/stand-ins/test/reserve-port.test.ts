import { spawn, type ChildProcess } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { existsSync, readFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { createInterface } from 'node:readline';
import { reservePort } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';

const HOST = '127.0.0.1';

/** Enough that two processes that each pick ports of the ephemeral range at random share some. */
const PORTS_PER_PROCESS = 500;

/** Range from which the system assigns ports to connections and to servers on port 0. */
const EPHEMERAL_RANGE_FILE = '/proc/sys/net/ipv4/ip_local_port_range';

/** Reserves ports, writes them to stdout and keeps running until stdin ends. */
const PROGRAM = `
import { reservePort } from ${JSON.stringify(import.meta.resolve('@savorywind/stand-ins'))};
const ports = [];
while (ports.length < ${PORTS_PER_PROCESS}) ports.push(await reservePort());
process.stdout.write(JSON.stringify(ports) + '\\n');
process.stdin.resume();
`;

const startReserver = (): ChildProcess =>
  spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });

const readPorts = async ({ stdout }: ChildProcess): Promise<number[]> => {
  if (stdout === null) throw new Error('the process has no stdout');
  const [line] = (await once(createInterface({ input: stdout }), 'line')) as [string];
  return JSON.parse(line) as number[];
};

describe('reservePort', () => {
  it('gives no port to two processes that run at once', async () => {
    const processes = [startReserver(), startReserver()];
    const ports = await Promise.all(processes.map(readPorts));
    const exits = processes.map((child) => once(child, 'exit'));
    processes.forEach(({ stdin }) => stdin?.end());
    await Promise.all(exits);
    expect(new Set(ports.flat()).size).toBe(2 * PORTS_PER_PROCESS);
  });

  it.runIf(existsSync(EPHEMERAL_RANGE_FILE))(
    'gives no port that the system assigns to connections',
    async () => {
      const [first = 0, last = 0] = readFileSync(EPHEMERAL_RANGE_FILE, 'utf8')
        .split(/\s+/)
        .map(Number);
      const port = await reservePort();
      expect(port < first || port > last).toBe(true);
    },
  );

  it('gives no port twice to calls at the same time', async () => {
    const ports = await Promise.all(Array.from({ length: PORTS_PER_PROCESS }, reservePort));
    expect(new Set(ports).size).toBe(PORTS_PER_PROCESS);
  });

  it('passes over ports that another program uses, also over UDP', async () => {
    const port = await reservePort();
    const server = createServer().listen(port + 1, HOST);
    const socket = createSocket('udp4').bind(port + 2, HOST);
    await Promise.all([once(server, 'listening'), once(socket, 'listening')]);
    const next = [await reservePort(), await reservePort()];
    server.close();
    socket.close();
    expect(next).not.toContain(port + 1);
    expect(next).not.toContain(port + 2);
  });
});
