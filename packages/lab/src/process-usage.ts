/** What a process of this machine uses, as the kernel states it. */
import { readFileSync, readdirSync } from 'node:fs';

import { splitAddress } from '@fighub/core';

const SAMPLE_PERIOD_MS = 25;
const KB_PER_MB = 1_024;
const BYTES_PER_MB = 1_048_576;

/** Peak of the memory of a process that is in use (`VmHWM`), in megabytes. */
export function peakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

/** Open descriptors of a process. */
export function descriptorCount(pid: number): number {
  return readdirSync(`/proc/${String(pid)}/fd`).length;
}

/** Bytes that the kernel holds unread on the connections to these `host:port` addresses. */
export function unreadBytes(addresses: readonly string[]): number {
  const locals = new Set(addresses.map(kernelAddress));
  return readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .filter(([, local = '']) => locals.has(local))
    .reduce((sum, [, , , , queues = '']) => sum + parseInt(queues.split(':')[1] ?? '0', 16), 0);
}

/** An IPv4 `host:port` address as the kernel's table of connections has it, on a machine with the low byte first. */
function kernelAddress(address: string): string {
  const { host, port } = splitAddress(address);
  const hexadecimal = (value: number, digits: number): string =>
    value.toString(16).toUpperCase().padStart(digits, '0');
  const octets = host.split('.').map((octet) => hexadecimal(Number(octet), 2));
  return `${octets.reverse().join('')}:${hexadecimal(port, 4)}`;
}

/** What a process has used at most since the watch began. */
export class UsageWatch {
  private peakUnreadBytes = 0;
  private peakDescriptors = 0;
  private readonly timer: NodeJS.Timeout;

  /** `addresses` are those that the process listens on; `isRunning` says whether the process with this id still runs. */
  constructor(
    private readonly pid: number,
    private readonly addresses: readonly string[],
    private readonly isRunning: () => boolean,
  ) {
    this.timer = setInterval(() => this.sample(), SAMPLE_PERIOD_MS);
  }

  get livesOn(): boolean {
    return this.isRunning();
  }

  get descriptors(): number {
    this.sample();
    return this.peakDescriptors;
  }

  /** Peak of the memory of the process, and of the bytes that the kernel holds for it unread, in megabytes. */
  get memoryMb(): number {
    this.sample();
    return peakMemoryMb(this.pid) + this.peakUnreadBytes / BYTES_PER_MB;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    if (!this.isRunning()) return;
    this.peakUnreadBytes = Math.max(this.peakUnreadBytes, unreadBytes(this.addresses));
    this.peakDescriptors = Math.max(this.peakDescriptors, descriptorCount(this.pid));
  }
}
