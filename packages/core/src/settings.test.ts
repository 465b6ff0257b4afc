import { describe, expect, it } from 'vitest';
import { z } from 'zod';

import { describeFaults, parseSettings } from './settings.js';

const schema = z.strictObject({
  name: z.string(),
  inner: z.strictObject({ periodMs: z.number().default(5) }),
});

describe('parseSettings', () => {
  it('reads comments and trailing commas and fills in defaults', () => {
    const parsed = parseSettings('{\n // a comment\n "name": "a",\n "inner": {},\n}', schema, 'a.jsonc');
    expect(parsed).toEqual({ ok: true, value: { name: 'a', inner: { periodMs: 5 } } });
  });

  it('reports the file, line and field of a value of the wrong type', () => {
    const parsed = parseSettings(
      '{\n "name": "a",\n "inner": {\n  "periodMs": "5s"\n }\n}',
      schema,
      'a.jsonc',
    );
    expect(parsed.ok ? '' : describeFaults(parsed.error)).toMatch(/^a\.jsonc:4: inner\.periodMs: /);
  });

  it('reports an unknown key with its line', () => {
    const parsed = parseSettings('{\n "name": "a",\n "inner": {},\n "nmae": 1\n}', schema, 'a.jsonc');
    expect(parsed.ok ? '' : describeFaults(parsed.error)).toMatch(/^a\.jsonc:4: nmae: /);
  });

  it('reports the line of a syntax error', () => {
    const parsed = parseSettings('{\n "name": \n}', schema, 'a.jsonc');
    expect(parsed.ok ? '' : describeFaults(parsed.error)).toMatch(/^a\.jsonc:3: /);
  });
});
