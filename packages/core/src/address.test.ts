import { describe, expect, it } from 'vitest';

import { splitAddress } from './address.js';

describe('splitAddress', () => {
  it('splits at the last colon', () => {
    expect(splitAddress('127.0.0.1:8080')).toEqual({ host: '127.0.0.1', port: 8080 });
    expect(splitAddress('::1:8080')).toEqual({ host: '::1', port: 8080 });
  });

  it('returns port 0 when the port is missing or invalid', () => {
    expect(splitAddress('node-1')).toEqual({ host: 'node-1', port: 0 });
    expect(splitAddress('node-1:http')).toEqual({ host: 'node-1', port: 0 });
    expect(splitAddress('node-1:70000')).toEqual({ host: 'node-1', port: 0 });
    expect(splitAddress('')).toEqual({ host: '', port: 0 });
  });
});
