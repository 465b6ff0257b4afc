import { readdirSync } from 'node:fs';
import { resolve } from 'node:path';

import { defineConfig } from 'rolldown';

// The workspace packages are bundled from their TypeScript sources, so that they need not be compiled first.
const sources = Object.fromEntries([
  ...readdirSync('packages').map((name) => [`@fighub/${name}`, resolve('packages', name, 'src/index.ts')]),
  ['@fighub/platform', resolve('platform/src/index.ts')],
]);

export default defineConfig({
  input: 'platform/src/bin/fighub-node.ts',
  platform: 'node',
  resolve: { mainFields: ['module', 'main'], alias: sources, extensionAlias: { '.js': ['.ts', '.js'] } },
  // Optional native addon of cbor-x, which is told below to do without it: the program depends on no package at run time.
  external: ['cbor-extract'],
  // A CommonJS file, since Node.js 20 can start only those from a code cache.
  transform: {
    define: { 'import.meta': 'importMeta', 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  },
  onLog: (level, log, print) => print(log.code === 'UNRESOLVED_IMPORT' ? 'error' : level, log),
  output: {
    file: 'target/fighub-node.cjs',
    format: 'cjs',
    codeSplitting: false,
    postBanner: 'const importMeta = { url: require("node:url").pathToFileURL(__filename).href };',
  },
});
