/**
 * Starts the bundled program from a V8 code cache, which spares each start most of the time for compiling it. A cache that is missing,
 * or was written by another release of Node.js, is ignored.
 *
 *   node [options of Node.js] launch.cjs [options of fighub-node]      starts the program
 *   node [options of Node.js] launch.cjs --write-code-cache            writes the cache; part of the build
 */
const process = require('node:process');

/** Signals that must not have their default action; platform/src/process-signals.ts handles them once the program is loaded. */
const RECEIVED_SIGNALS = ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGUSR1', 'SIGUSR2'];
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'];
const inbox = { received: [], handler: undefined };
globalThis[Symbol.for('fighub.signals')] = inbox;
RECEIVED_SIGNALS.forEach((signal) =>
  process.on(signal, () => {
    if (inbox.handler) inbox.handler(signal);
    else if (STOP_SIGNALS.includes(signal)) endWhileLoading('signal', signal, 0);
    else inbox.received.push(signal);
  }),
);

const { readFileSync, writeFileSync, writeSync } = require('node:fs');
const { createRequire } = require('node:module');
const { dirname, join } = require('node:path');
const { performance } = require('node:perf_hooks');
const { Script } = require('node:vm');

const PROGRAM_PATH = join(__dirname, '../target/fighub-node.cjs');
/** V8 accepts a cache only with the options with which it was written, so that each set of options has its own. */
const CACHE_NAME = ['fighub-node', ...process.execArgv].join('').replace(/[^\w=-]/g, '_');
const CACHE_PATH = join(__dirname, `../target/${CACHE_NAME}.cache`);
/** Running the program with these options loads all of its modules, whose functions the cache is to contain. */
const LOADING_OPTIONS = ['--check', '--settings', join(__dirname, 'code-cache-settings.jsonc')];
const SHEBANG = /^#!.*/;

/** Exit status after an unexpected error; the same as that of the program. */
const CRASH_STATUS = 70;
const STANDARD_OUTPUT = 1;
const INFO_LEVEL = 30;

/** Writes the line about the end that the program would write, and exits. */
function endWhileLoading(reason, detail, exitStatus) {
  const ranMs = Math.round(performance.now());
  const end = { reason, phase: 'loading', exitStatus, detail, ranMs, phaseMs: { loading: ranMs } };
  const line = { level: INFO_LEVEL, time: Date.now(), event: 'process_ended', ...end, msg: 'process_ended' };
  try {
    writeSync(STANDARD_OUTPUT, `${JSON.stringify(line)}\n`);
  } catch {
    // The exit status has to do.
  }
  process.exit(exitStatus);
}

function readCache() {
  try {
    return readFileSync(CACHE_PATH);
  } catch {
    return undefined;
  }
}

function loadProgram() {
  const source = readFileSync(PROGRAM_PATH, 'utf8').replace(SHEBANG, '');
  const script = new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {
    filename: PROGRAM_PATH,
    cachedData: readCache(),
  });
  const main = script.runInThisContext();
  if (process.argv.includes('--write-code-cache')) {
    process.argv.splice(2, process.argv.length, ...LOADING_OPTIONS);
    process.once('exit', () => writeFileSync(CACHE_PATH, script.createCachedData()));
  }
  const module_ = { exports: {} };
  main(module_.exports, createRequire(PROGRAM_PATH), module_, PROGRAM_PATH, dirname(PROGRAM_PATH));
}

try {
  loadProgram();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
  endWhileLoading('load_failed', error.message, CRASH_STATUS);
}
