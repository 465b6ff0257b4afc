/** A small fleet on loopback: entry instances, stand-ins for outside services, and the table rows that connect them. */
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';

import { ApiClient } from '@fighub/client';
import type { ItemResult } from '@fighub/core';
import { keyDigest } from '@fighub/core';
import type {
  EngineStandinOptions,
  JournalEntry,
  KvFaults,
  KvStandinOptions,
  RouteFaults,
} from '@fighub/standins';
import got from 'got';

import { FleetProcess } from './child-process.js';

const require = createRequire(import.meta.url);
const ADMIN_KEY = 'admin-key-of-the-lab';
/** Entries that `addEntries` starts at the same time. */
const MAX_CONCURRENT_STARTS = 8;
const FLEET_SECRET = 'fleet-secret-of-the-lab';

/** An organisation of an experiment; its API key is `key-<name>`. */
export interface LabOrganisation {
  readonly name: string;
  readonly weight: number;
}

/** Configuration of a fleet. */
export interface FleetPlan {
  readonly failureDomains: readonly string[];
  /** Number of entry instances in each failure domain. */
  readonly entriesPerDomain: number;
  /** Number of further entry instances, which are distributed over the failure domains in turn. */
  readonly initialEntries: number;
  readonly replicasPerDomain: number;
  readonly model: string;
  /** Options of the replica stand-ins that differ from the defaults. */
  readonly engine: Partial<EngineStandinOptions>;
  /** Options of the key-value stand-in that differ from the defaults. */
  readonly keyValue: Partial<KvStandinOptions>;
  readonly organisations: readonly LabOrganisation[];
  /** Settings of the entries that override the settings of the lab. */
  readonly entrySettings: Record<string, unknown>;
  /** Connections between entries, and from entries to stand-ins and upstreams, pass through the fault proxy. */
  readonly throughProxy: boolean;
  /** Also starts the stand-in for a plain service, which is registered as `print`. */
  readonly plainService: boolean;
  /** Value of the model's row in the table. */
  readonly modelRow: Record<string, unknown>;
}

/** The deployment of Slnečná Stráž: three failure domains with one entry and two replicas each. */
export const DEFAULT_PLAN: FleetPlan = {
  failureDomains: ['zvolen-hala', 'bystrica-hala', 'lucenec-hala'],
  entriesPerDomain: 1,
  initialEntries: 0,
  replicasPerDomain: 2,
  model: 'alert-modely',
  engine: {},
  keyValue: {},
  organisations: [
    { name: 'obloha', weight: 1 },
    { name: 'meteo-tatry', weight: 1 },
    { name: 'slnko-data', weight: 1 },
  ],
  entrySettings: {},
  throughProxy: false,
  plainService: false,
  modelRow: {},
};

/** One entry instance of a fleet. */
export interface FleetEntry {
  readonly name: string;
  readonly failureDomain: string;
  /** Loopback address that the instance listens on and makes its connections from. */
  readonly host: string;
  process: FleetProcess;
  address: string;
}

/** One replica of a fleet, which is a stand-in for a model engine. */
export interface FleetReplica {
  readonly name: string;
  readonly failureDomain: string;
  process: FleetProcess;
  /** Address of the process itself; entries may reach it through the proxy instead. */
  address: string;
  readonly port: number;
}

/** A running fleet of local processes. */
export class Fleet {
  readonly entries: FleetEntry[] = [];
  readonly replicas: FleetReplica[] = [];
  /** Stand-in for the key-value service. */
  keyValue!: FleetProcess;
  /** Stand-in for the instance list. */
  instances!: FleetProcess;
  /** Stand-in for the plain service, if the plan has one. */
  service: FleetProcess | undefined;
  private proxy: FleetProcess | undefined;
  private readonly standinProcesses: FleetProcess[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'fighub-lab-'));
  private readonly allEntryProcesses: FleetProcess[] = [];
  private readonly hostsByEntryName = new Map<string, string>();
  private readonly routes = new Map<string, string>();
  private readonly peerSettingsByEntryName = new Map<string, Record<string, unknown>>();
  /** Number of entry starts so far, which makes the names of the settings files unique. */
  private started = 0;

  private constructor(readonly plan: FleetPlan) {}

  /**
   * Starts all processes, writes the table rows and waits until the fleet has settled. `changes` override the default
   * plan. When a step fails, kills the processes that have been added to the fleet by then, and throws.
   */
  static async start(changes: Partial<FleetPlan> = {}): Promise<Fleet> {
    const fleet = new Fleet({ ...DEFAULT_PLAN, ...changes });
    try {
      await fleet.startAll();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** API client for an entry with the key of an organisation. */
  caller(entry: FleetEntry, organisation: string): ApiClient {
    return new ApiClient(entry.address, `key-${organisation}`);
  }

  /** API client for an entry with the key of the administrator. */
  admin(entry: FleetEntry): ApiClient {
    return new ApiClient(entry.address, ADMIN_KEY);
  }

  /** Entry at `index` modulo the number of entries. */
  entry(index: number): FleetEntry {
    const entry = this.entries[index % this.entries.length];
    if (!entry) throw new Error('the fleet has no entries');
    return entry;
  }

  /** Replica at `index` modulo the number of replicas. */
  replica(index: number): FleetReplica {
    const replica = this.replicas[index % this.replicas.length];
    if (!replica) throw new Error('the fleet has no replicas');
    return replica;
  }

  /** Starts an entry process without adding it to `entries`. For a known name, host and peer port stay the same. */
  async startEntry(name: string, failureDomain: string): Promise<FleetEntry> {
    this.started += 1;
    const host = this.hostOf(name);
    const peers = await this.peerSettingsOf(name, host);
    const settings = {
      instanceName: name,
      failureDomain,
      host,
      ...peers,
      fleetSecret: FLEET_SECRET,
      bootstrapAdminKey: ADMIN_KEY,
      keyValueService: {
        address: await this.route(`${name}-kv`, this.keyValue.ready.address ?? ''),
        ...(this.plan.entrySettings.keyValueService as object | undefined),
      },
      instanceList: { address: await this.route(`${name}-list`, this.instances.ready.address ?? '') },
      logLevel: 'info',
      ...Object.fromEntries(
        Object.entries(this.plan.entrySettings).filter(([key]) => key !== 'keyValueService'),
      ),
    };
    const file = join(this.folder, `${name}-${String(this.started)}.jsonc`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const process = await FleetProcess.start(name, programPath('@fighub/entry', 'fighub-entry'), [
      '--settings',
      file,
      '--json',
    ]);
    this.allEntryProcesses.push(process);
    return { name, failureDomain, host, process, address: process.ready.httpAddress ?? '' };
  }

  /** Starts further entries, a few at a time, and distributes them over the failure domains in turn. */
  async addEntries(count: number): Promise<void> {
    const domains = this.plan.failureDomains;
    const first = this.entries.length;
    for (let added = 0; added < count; added += MAX_CONCURRENT_STARTS) {
      const concurrentStarts = Math.min(MAX_CONCURRENT_STARTS, count - added);
      const started = await Promise.all(
        Array.from({ length: concurrentStarts }, (_, index) => {
          const number = first + added + index;
          return this.startEntry(`entry-${String(number)}`, domains[number % domains.length] ?? '');
        }),
      );
      this.entries.push(...started);
    }
  }

  /** Starts a new process for an entry whose process has exited. */
  async restartEntry(entry: FleetEntry): Promise<void> {
    const restarted = await this.startEntry(entry.name, entry.failureDomain);
    entry.process = restarted.process;
    entry.address = restarted.address;
  }

  /** Starts a new process for a replica on the port of the previous one. */
  async restartReplica(replica: FleetReplica): Promise<void> {
    replica.process = await this.startEngine(replica.name, replica.port);
  }

  /** Changes faults of the key-value stand-in. */
  async setKeyValueFaults(faults: Partial<KvFaults>): Promise<void> {
    await got.post(`${this.keyValue.ready.address ?? ''}/faults`, { json: faults });
  }

  /** Reads the counters of the key-value stand-in. */
  async keyValueStats(): Promise<KeyValueStats> {
    return got(`${this.keyValue.ready.address ?? ''}/stats`).json<KeyValueStats>();
  }

  /** Changes faults of a replica. */
  async setEngineFaults(replica: FleetReplica, faults: Record<string, unknown>): Promise<void> {
    await got.post(`${replica.address}/faults`, { json: faults });
  }

  /** Reads which requests the present process of a replica has received. */
  async journal(replica: FleetReplica): Promise<JournalEntry[]> {
    return got(`${replica.address}/journal`).json<JournalEntry[]>();
  }

  /** Reads which requests the present processes of all running replicas have received. */
  async journals(): Promise<JournalEntry[]> {
    const running = this.replicas.filter((replica) => replica.process.running);
    return (await Promise.all(running.map((replica) => this.journal(replica)))).flat();
  }

  /**
   * Reads from the journal files which requests replicas have received, including those of killed processes. An entry
   * shows the request as it was on receipt, so it has no times of its start and end.
   */
  receivedRequests(): JournalEntry[] {
    return this.replicas
      .map((replica) => join(this.folder, `${replica.name}.jsonl`))
      .filter((file) => existsSync(file))
      .flatMap((file) => readFileSync(file, 'utf8').split('\n'))
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as JournalEntry);
  }

  /** Changes faults of the proxy routes with these names. */
  async setRouteFaults(names: readonly string[], faults: Partial<RouteFaults>): Promise<void> {
    await got.post(`${this.proxy?.ready.address ?? ''}/faults`, { json: { names, faults } });
  }

  /** Partitions the failure domains in `inside` from the others and from the hosting platform's services. */
  async partition(inside: readonly string[]): Promise<void> {
    const isInside = (domain: string): boolean => inside.includes(domain);
    const sources = (wanted: boolean): string[] =>
      this.entries.filter((entry) => isInside(entry.failureDomain) === wanted).map((entry) => entry.host);
    const namesOf = (wanted: boolean): string[] => [
      ...this.entries
        .filter((entry) => isInside(entry.failureDomain) === wanted)
        .map((entry) => `${entry.name}-peers`),
      ...this.replicas
        .filter((replica) => isInside(replica.failureDomain) === wanted)
        .map((replica) => replica.name),
    ];
    const platformRoutes = this.entries.flatMap((entry) => [`${entry.name}-kv`, `${entry.name}-list`]);
    await this.setRouteFaults([...namesOf(false), ...platformRoutes], { blockedSources: sources(true) });
    await this.setRouteFaults(namesOf(true), { blockedSources: sources(false) });
  }

  /** Drops all further data on the proxied connections that are open now. New connections work. */
  async silenceOpenConnections(): Promise<void> {
    await this.setRouteFaults([...this.routes.keys()], { silenceOpen: true });
  }

  /** Ends all partitions. */
  async heal(): Promise<void> {
    await this.setRouteFaults([...this.routes.keys()], { blockedSources: [] });
  }

  /** Log lines of level `fatal` (60): entries that exited on a violated invariant or an unexpected error. */
  fatalLogLines(): string[] {
    return this.allEntryProcesses.flatMap((process) =>
      process.stderrLines.filter((line) => line.includes('"level":60')),
    );
  }

  /**
   * Waits until all running entries hold the same revisions of the table and each sees as many live members as there
   * are running entries.
   */
  async waitUntilSettled(timeoutMs?: number): Promise<void> {
    await waitFor(
      'all entries to hold the same table and to know all running entries',
      async () => {
        const running = this.entries.filter((entry) => entry.process.running);
        const dumps = await Promise.all(running.map((entry) => this.admin(entry).dump()));
        const revisions = new Set(
          dumps.map((dump) =>
            JSON.stringify(dump.ok ? (dump.value.table as { revisions: number[] }).revisions : 0),
          ),
        );
        const complete = dumps.every((dump) => dump.ok && liveMembers(dump.value) === running.length);
        return complete && revisions.size === 1;
      },
      timeoutMs,
    );
  }

  /** Kills all processes and removes their files. */
  async stop(): Promise<void> {
    const processes = [
      ...this.entries.map((entry) => entry.process),
      ...this.replicas.map((replica) => replica.process),
      ...this.standinProcesses,
    ];
    await Promise.all(processes.map((process) => process.kill()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startAll(): Promise<void> {
    const { plan } = this;
    this.keyValue = await this.startStandin('key-value', plan.keyValue);
    this.instances = await this.startStandin('instances', {});
    if (plan.throughProxy) {
      this.proxy = await FleetProcess.start('proxy', programPath('@fighub/standins', 'fighub-proxy'), []);
      this.standinProcesses.push(this.proxy);
    }
    if (plan.plainService) this.service = await this.startStandin('service', {});
    const replicaPositions = plan.failureDomains.flatMap((domain) =>
      Array.from({ length: plan.replicasPerDomain }, (_, index) => ({ domain, index })),
    );
    await Promise.all(
      replicaPositions.map(({ domain, index }) => this.addReplica(`${domain}-r${String(index + 1)}`, domain)),
    );
    const entryPositions = plan.failureDomains.flatMap((domain) =>
      Array.from({ length: plan.entriesPerDomain }, (_, index) => ({ domain, index })),
    );
    const entries = await Promise.all(
      entryPositions.map(({ domain, index }) => this.startEntry(`${domain}-e${String(index + 1)}`, domain)),
    );
    this.entries.push(...entries);
    await this.addEntries(plan.initialEntries);
    await this.writeRows();
    await this.waitUntilSettled();
  }

  private async addReplica(name: string, failureDomain: string): Promise<void> {
    const process = await this.startEngine(name, 0);
    const address = process.ready.address ?? '';
    this.replicas.push({ name, failureDomain, process, address, port: Number(new URL(address).port) });
  }

  private startEngine(name: string, port: number): Promise<FleetProcess> {
    const journalFile = join(this.folder, `${name}.jsonl`);
    const options = { models: [this.plan.model], ...this.plan.engine, port, journalFile };
    return FleetProcess.start(name, programPath('@fighub/standins', 'fighub-standin'), [
      'engine',
      '--options',
      JSON.stringify(options),
    ]);
  }

  private async startStandin(kind: string, options: object): Promise<FleetProcess> {
    const program = programPath('@fighub/standins', 'fighub-standin');
    const process = await FleetProcess.start(kind, program, [kind, '--options', JSON.stringify(options)]);
    this.standinProcesses.push(process);
    return process;
  }

  /** Gives each entry a loopback address of its own, so that the proxy can tell which entry opens a connection. */
  private hostOf(name: string): string {
    const known = this.hostsByEntryName.get(name);
    if (known !== undefined) return known;
    const host = `127.0.1.${String(this.hostsByEntryName.size + 1)}`;
    this.hostsByEntryName.set(name, host);
    return host;
  }

  /**
   * Peer settings of an entry. With a proxy, peers reach the entry through a route, so its peer port must be known
   * before it starts.
   */
  private async peerSettingsOf(name: string, host: string): Promise<Record<string, unknown>> {
    if (!this.proxy) return {};
    const known = this.peerSettingsByEntryName.get(name);
    if (known) return known;
    const peerPort = await freePort(host);
    const route = new URL(await this.route(`${name}-peers`, `http://${host}:${String(peerPort)}`));
    const peerSettings = { peerPort, announcedPeerAddress: route.host };
    this.peerSettingsByEntryName.set(name, peerSettings);
    return peerSettings;
  }

  /** Address under which a target is reached: a route of the proxy if there is one, otherwise the target itself. */
  private async route(name: string, target: string): Promise<string> {
    if (!this.proxy) return target;
    const known = this.routes.get(name);
    if (known !== undefined) return known;
    const response = await got
      .post(`${this.proxy.ready.address ?? ''}/routes`, { json: { name, target: new URL(target).host } })
      .json<{ port: number }>();
    const address = `http://127.0.0.1:${String(response.port)}`;
    this.routes.set(name, address);
    return address;
  }

  private async writeRows(): Promise<void> {
    const admin = this.admin(this.entry(0));
    const { plan } = this;
    const upstreams = await Promise.all(
      this.replicas.map(async (replica) => ({
        key: `upstream/${replica.name}`,
        value: {
          serves: plan.model,
          address: await this.route(replica.name, replica.address),
          failureDomain: replica.failureDomain,
          fencingChecked: plan.engine.checksFencing ?? false,
          maxConcurrency: plan.engine.maxConcurrency ?? 8,
        },
      })),
    );
    const organisations = plan.organisations.flatMap((organisation) => [
      {
        key: `organisation/${organisation.name}`,
        value: { keyHashes: [keyDigest(`key-${organisation.name}`)] },
      },
      { key: `share/${organisation.name}/*`, value: { weight: organisation.weight } },
    ]);
    const rows = [{ key: `model/${plan.model}`, value: plan.modelRow }, ...upstreams, ...organisations];
    if (this.service) {
      rows.push({ key: 'service/print', value: {} });
      rows.push({
        key: 'upstream/print-1',
        value: {
          serves: 'print',
          address: await this.route('print-1', this.service.ready.address ?? ''),
          failureDomain: plan.failureDomains[0] ?? '',
        } as never,
      });
    }
    await rows.reduce(async (previous, row) => {
      await previous;
      const written = await admin.putRow(row.key, row.value);
      if (!written.ok) throw new Error(`cannot write the row ${row.key}: ${written.error.detail}`);
    }, Promise.resolve());
  }
}

/** Counters of the key-value stand-in. */
export interface KeyValueStats {
  /** Number of keys that exist now. */
  readonly keys: number;
  /** Transactions that the rate limit admitted, including those whose conditions did not hold. */
  readonly writes: number;
  /** Range queries that the rate limit admitted. */
  readonly reads: number;
  readonly writesRefused: number;
  readonly readsRefused: number;
  /** Transactions whose connection was broken before the response, because of an injected fault. */
  readonly answersLost: number;
  /**
   * Number of values stored, by the first segment of their key, or by `jobs/` and the third segment for keys of jobs.
   */
  readonly writesByKind: Readonly<Record<string, number>>;
}

/** Finds a port of `host` that is free now; another process may take it before it is used. */
function freePort(host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

/** Polls a condition until it holds. Throws after `timeoutMs`; `awaited` names the condition in the error. */
export async function waitFor(
  awaited: string,
  holds: () => Promise<boolean>,
  timeoutMs = 40_000,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!(await holds())) {
    if (performance.now() > deadlineMs) throw new Error(`timed out while waiting for ${awaited}`);
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

/** Number of live members in the diagnostic dump of an entry. */
export function liveMembers(dump: Record<string, unknown>): number {
  const members = dump.members as { state: string }[];
  return members.filter((member) => member.state === 'alive').length;
}

/** Counts the results by status. */
export function countByStatus(results: readonly ItemResult[]): Record<string, number> {
  return results.reduce<Record<string, number>>((counts, result) => {
    counts[result.status] = (counts[result.status] ?? 0) + 1;
    return counts;
  }, {});
}

function programPath(packageName: string, bin: string): string {
  const mainModule = require.resolve(packageName);
  return join(dirname(mainModule), 'bin', `${bin}.js`);
}
