/**
 * Starts the bundled program from a V8 code cache, which spares each start most of the time for compiling it. A cache that is missing,
 * or was written by another release of Node.js, is ignored.
 *
 *   node [options of Node.js] launch.cjs [options of fighub-node]      starts the program
 *   node [options of Node.js] launch.cjs --write-code-cache            writes the cache; part of the build
 */
const { readFileSync, writeFileSync } = require('node:fs');
const { createRequire } = require('node:module');
const { dirname, join } = require('node:path');
const process = require('node:process');
const { Script } = require('node:vm');

const PROGRAM_PATH = join(__dirname, '../target/fighub-node.cjs');
/** V8 accepts a cache only with the options with which it was written, so that each set of options has its own. */
const CACHE_NAME = ['fighub-node', ...process.execArgv].join('').replace(/[^\w=-]/g, '_');
const CACHE_PATH = join(__dirname, `../target/${CACHE_NAME}.cache`);
/** Running the program with these options loads all of its modules, whose functions the cache is to contain. */
const LOADING_OPTIONS = ['--check', '--settings', join(__dirname, 'code-cache-settings.jsonc')];
const SHEBANG = /^#!.*/;

function readCache() {
  try {
    return readFileSync(CACHE_PATH);
  } catch {
    return undefined;
  }
}

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
