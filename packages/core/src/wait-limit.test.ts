/** After a pause of the process, what has arrived meanwhile comes before limits of waits for it. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { TickLoop } from './tick.js';
import { WaitLimit, runWhenRead } from './wait-limit.js';

const LIMIT_MS = 50;
const PAUSE_MS = 200;

/** Holds up the process, as a processor that others use, or a frozen process, does. */
function pause(): void {
  const untilMs = performance.now() + PAUSE_MS;
  while (performance.now() < untilMs);
}

describe('after a pause of the process', () => {
  let server: Server;
  let sender: Socket;
  let receiver: Socket;
  let order: string[];

  beforeEach(async () => {
    order = [];
    server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const accepted = new Promise<Socket>((resolve) => server.once('connection', resolve));
    receiver = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sender = await accepted;
    receiver.on('data', () => order.push('arrived'));
  });

  afterEach(() => {
    [sender, receiver].forEach((socket) => socket.destroy());
    server.close();
  });

  /** Sends something that arrives while the process is held up. */
  async function sendAndPause(): Promise<void> {
    await new Promise<void>((resolve) => sender.write('x', () => resolve()));
    pause();
  }

  async function until(count: number): Promise<void> {
    while (order.length < count) await new Promise((resolve) => setTimeout(resolve, 5));
  }

  it('a limit is over after what has arrived', async () => {
    new WaitLimit(LIMIT_MS, () => order.push('over'));
    await sendAndPause();
    await until(2);
    expect(order).toEqual(['arrived', 'over']);
  });

  it('a limit can be cleared by what has arrived', async () => {
    const limit = new WaitLimit(LIMIT_MS, () => order.push('over'));
    receiver.once('data', () => limit.clear());
    await sendAndPause();
    await until(1);
    await new Promise((resolve) => setTimeout(resolve, LIMIT_MS));
    expect(order).toEqual(['arrived']);
  });

  it('systems run after what has arrived, and others at once', async () => {
    const run = (): void => {
      if (!order.includes('run')) order.push('run');
    };
    const loop = new TickLoop(
      [{ name: 's', busy: false, run }],
      { busyMs: LIMIT_MS, idleMs: LIMIT_MS },
      () => {
        order.push('error');
      },
    );
    loop.start();
    await sendAndPause();
    await until(2);
    loop.stop();
    expect(order).toEqual(['arrived', 'run']);
    runWhenRead(performance.now(), () => order.push('at once'));
    expect(order).toEqual(['arrived', 'run', 'at once']);
  });
});
