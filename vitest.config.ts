import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    // CommonJS modules are imported as Node.js imports them.
    deps: { interopDefault: false },
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    exclude: ['**/dist/**', '**/node_modules/**'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    fileParallelism: true,
    maxWorkers: 4,
  },
});
