import { describe, expect, it } from 'vitest';

import { OrganisationUsage } from './organisation-usage.js';

describe('OrganisationUsage', () => {
  it('counts outcomes by organisation', () => {
    const usage = new OrganisationUsage();
    usage.count('fox', 'completed');
    usage.count('fox', 'completed');
    usage.count('hen', 'over_quota');
    expect(usage.dump()).toEqual({
      fox: { completed: 2, over_quota: 0, failed: 0 },
      hen: { completed: 0, over_quota: 1, failed: 0 },
    });
  });

  it('keeps its size when there are many organisations, and loses no request', () => {
    const usage = new OrganisationUsage();
    Array.from({ length: 1_500 }, (_, index) => usage.count(`o${String(index)}`, 'failed'));
    const counts = Object.values(usage.dump());
    expect(counts.length).toBeLessThanOrEqual(201);
    expect(counts.reduce((sum, { failed }) => sum + failed, 0)).toBe(1_500);
  });
});
