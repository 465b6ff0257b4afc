/**
 * Starts the bundled program from a V8 code cache, which spares each start most of the time for compiling it. A cache that is missing,
 * is damaged, or was written for another program or by another release of Node.js, is ignored.
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

const { Buffer } = require('node:buffer');
const { createHash } = require('node:crypto');
const { readFileSync, renameSync, writeFileSync, writeSync } = require('node:fs');
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
/** A cache file begins with a SHA-256 digest: V8 itself compares no more of the program than its length, and crashes on damaged data. */
const DIGEST_BYTES = 32;

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

/** Digest of what a cache depends on, and of its data. */
function cacheDigest(program, data) {
  const { execArgv, version, platform, arch } = process;
  const origin = JSON.stringify([version, platform, arch, execArgv, program.length]);
  return createHash('sha256').update(origin).update(program).update(data).digest();
}

function readCache(program) {
  try {
    const file = readFileSync(CACHE_PATH);
    const data = file.subarray(DIGEST_BYTES);
    return file.subarray(0, DIGEST_BYTES).equals(cacheDigest(program, data)) ? data : undefined;
  } catch {
    return undefined;
  }
}

/** Processes that start meanwhile read the earlier cache or this one, never a part of it. */
function writeCache(program, data) {
  const partialPath = `${CACHE_PATH}.${String(process.pid)}.tmp`;
  writeFileSync(partialPath, Buffer.concat([cacheDigest(program, data), data]));
  renameSync(partialPath, CACHE_PATH);
}

function loadProgram() {
  const program = readFileSync(PROGRAM_PATH);
  const source = program.toString('utf8').replace(SHEBANG, '');
  const script = new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {
    filename: PROGRAM_PATH,
    cachedData: readCache(program),
  });
  const main = script.runInThisContext();
  if (process.argv.includes('--write-code-cache')) {
    process.argv.splice(2, process.argv.length, ...LOADING_OPTIONS);
    process.once('exit', (status) => {
      if (status === 0) writeCache(program, script.createCachedData());
    });
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
