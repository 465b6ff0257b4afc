import { describe, expect, it } from 'vitest';

import type { RepeatedRequest } from './request-digest.js';
import { requestDigest } from './request-digest.js';

const REQUEST: RepeatedRequest = {
  method: 'POST',
  host: 'school.example',
  target: '/alerts/1',
  headers: [['Model', 'm']],
  body: Buffer.from('prompt'),
};

describe('requestDigest', () => {
  it('is the same for repeats, whatever their ids and deadlines', () => {
    const repeat = { ...REQUEST, headers: [['Deadline-Ms', '5']] as const, body: Buffer.from('prompt') };
    expect(requestDigest(repeat)).toBe(requestDigest(REQUEST));
  });

  it.each<[string, Partial<RepeatedRequest>]>([
    ['method', { method: 'GET' }],
    ['host', { host: 'kit.example' }],
    ['path', { target: '/alerts/2' }],
    ['caller', { headers: [['Authorization', 'Bearer key']] }],
    ['body', { body: Buffer.from('prompts') }],
    ['empty body', { body: Buffer.alloc(0) }],
  ])('differs with another %s', (_, change) => {
    expect(requestDigest({ ...REQUEST, ...change })).not.toBe(requestDigest(REQUEST));
  });
});
