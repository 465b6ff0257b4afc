/**
 * The build of the deploy file. The same sources and lock file give the same program, whatever is left from earlier builds, and
 * whichever variables are set. Everything it writes lies in target/ and node_modules/. Exit status 1 after the first failed step.
 *
 *   node deploy/build.mjs             installs the dependencies, bundles the program and writes its code caches
 *   node deploy/build.mjs --install   installs the dependencies only
 */
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { chmodSync, mkdirSync, readdirSync, readFileSync, renameSync, rmSync, statSync } from 'node:fs';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { buildEnvironment } from './build-environment.mjs';
import { isInstalled, recordInstallation, removeNestedModules } from './installation.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const TARGET = join(ROOT, 'target');
const PROGRAM = 'fighub-node.cjs';
const DEPLOY_FILE = join(ROOT, 'deploy/system.toml');
const BUNDLER = join(ROOT, 'node_modules/rolldown/bin/cli.mjs');
/** Install scripts are not run: they compile optional addons if a compiler happens to be there. */
const INSTALL = [
  'ci',
  '--include=dev',
  '--include=optional',
  '--ignore-scripts',
  '--prefer-offline',
  '--loglevel=error',
];
/** Limit of all steps together; the hosting platform waits 15 minutes. */
const BUILD_TIMEOUT_MS = 840_000;
const OTHER_BUILD_POLL_MS = 200;
/** Processes of another user read the program. */
const UMASK = 0o022;
const FOLDER_MODE = 0o755;
/** What builds leave in target/ beside the program: code caches, and what an interrupted build had begun. */
const LEFTOVERS = /^(partial-.*|fighub-node.*\.(cache|tmp))$/;

const deadlineMs = performance.now() + BUILD_TIMEOUT_MS;
const remainingMs = () => Math.max(1, Math.ceil(deadlineMs - performance.now()));

function run(command, ...args) {
  const options = { cwd: ROOT, env: buildEnvironment(process.env), timeout: remainingMs() };
  const { error, signal, status } = spawnSync(command, args, {
    ...options,
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  const shown = [command, ...args].join(' ');
  if (error?.code === 'ETIMEDOUT') throw new Error(`${shown} did not end within the limit of the build`);
  if (error) throw new Error(`cannot run ${shown}: ${error.message}`);
  if (signal) throw new Error(`${shown} was ended by ${signal}`);
  if (status !== 0) throw new Error(`${shown} ended with status ${status}`);
}

function tryListen(server, name) {
  return new Promise((resolve) => {
    server.once('error', ({ code }) => resolve(code));
    server.listen(name, () => resolve(undefined));
  });
}

/** Waits until no other build runs in this checkout. The system releases the name of an abstract socket when its process ends. */
async function waitForOtherBuild() {
  const { dev, ino } = statSync(ROOT);
  const name = `\0fighub-build-${createHash('sha256').update(`${dev}:${ino}`).digest('hex')}`;
  while ((await tryListen(createServer().unref(), name)) === 'EADDRINUSE') {
    if (performance.now() > deadlineMs) throw new Error('another build is still running in this checkout');
    await sleep(OTHER_BUILD_POLL_MS);
  }
}

function install() {
  if (isInstalled(ROOT)) return;
  removeNestedModules(ROOT);
  run('npm', ...INSTALL);
  recordInstallation(ROOT);
}

/** A process that starts meanwhile reads the earlier program or the new one, never a part of it. */
function bundle() {
  const partial = join(TARGET, `partial-${process.pid}`);
  run(process.execPath, BUNDLER, '-c', 'deploy/rolldown.config.js', '--file', join(partial, PROGRAM));
  renameSync(join(partial, PROGRAM), join(TARGET, PROGRAM));
  removeLeftovers();
}

/** Writes a code cache with the command of each role, which also shows that the program can be loaded. */
function writeCodeCaches() {
  const commands = [...readFileSync(DEPLOY_FILE, 'utf8').matchAll(/^run = "node (.*)"$/gm)].map(
    ([, words]) => words,
  );
  if (commands.length === 0) throw new Error(`no command of a role found in ${DEPLOY_FILE}`);
  new Set(commands).forEach((words) => run(process.execPath, ...words.split(' '), '--write-code-cache'));
}

function removeLeftovers() {
  readdirSync(TARGET)
    .filter((name) => LEFTOVERS.test(name))
    .forEach((name) => rmSync(join(TARGET, name), { recursive: true, force: true }));
}

function prepareTarget() {
  mkdirSync(TARGET, { recursive: true });
  chmodSync(TARGET, FOLDER_MODE);
}

const installsOnly = process.argv.includes('--install');
const steps = [
  ['wait for another build', waitForOtherBuild],
  ['prepare target/', prepareTarget],
  ['install dependencies', install],
  ...(installsOnly
    ? []
    : [
        ['bundle the program', bundle],
        ['write code caches', writeCodeCaches],
      ]),
];

process.umask(UMASK);
for (const [name, step] of steps) {
  try {
    await step();
  } catch (error) {
    process.stderr.write(`build failed, step '${name}': ${error.message}\n`);
    process.exit(1);
  }
}
