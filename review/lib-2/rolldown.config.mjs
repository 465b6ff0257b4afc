import { readdirSync } from 'node:fs';
import { resolve } from 'node:path';

import { defineConfig } from 'rolldown';

const sources = Object.fromEntries([
  ...readdirSync('packages').map((name) => [`@fighub/${name}`, resolve('packages', name, 'src/index.ts')]),
  ['@fighub/platform', resolve('platform/src/index.ts')],
]);

export default defineConfig({
  input: 'review/lib-2/standins.mjs',
  platform: 'node',
  resolve: { mainFields: ['module', 'main'], alias: sources, extensionAlias: { '.js': ['.ts', '.js'] } },
  external: ['cbor-extract'],
  transform: { define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' } },
  output: { file: 'target/review-2/standins.mjs', format: 'esm', codeSplitting: false },
});
