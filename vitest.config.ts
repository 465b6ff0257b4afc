import { defineConfig } from 'vitest/config';

const shared = {
  // CommonJS modules are imported as Node.js imports them.
  deps: { interopDefault: false },
  testTimeout: 60_000,
  hookTimeout: 60_000,
};
/** Tests that load a whole process, and run one at a time when all others have ended. */
const ISOLATED = ['packages/*/src/**/*.isolated.test.ts', 'platform/src/**/*.isolated.test.ts'];
const GENERATED = ['**/dist/**', '**/node_modules/**'];

export default defineConfig({
  test: {
    projects: [
      {
        test: {
          ...shared,
          name: 'parallel',
          include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
          exclude: [...GENERATED, ...ISOLATED],
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        test: {
          ...shared,
          name: 'isolated',
          include: ISOLATED,
          exclude: GENERATED,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
