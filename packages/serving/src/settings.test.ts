import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { parseSettings } from '@fighub/core';
import { describe, expect, it } from 'vitest';

import { servingSettingsSchema } from './settings.js';

const EXAMPLE = readFileSync(
  fileURLToPath(new URL('../../../deploy/code-cache-settings.jsonc', import.meta.url)),
  'utf8',
);

function parse(change: (text: string) => string) {
  return parseSettings(change(EXAMPLE), servingSettingsSchema, 'settings.jsonc');
}

describe('the settings of a serving instance', () => {
  it('refuse a port that no address has, which would listen on any port', () => {
    const settings = parse((text) =>
      text.replace('"peerAddress": "127.0.0.1:1"', '"peerAddress": "127.0.0.1:70000"'),
    );
    expect(settings).toMatchObject({ ok: false, error: [{ field: 'peerAddress' }] });
  });

  it.each([
    ['', 8_000],
    ['"shutdown": { "graceS": 2.5 },', 2_500],
    ['"shutdown": { "graceMs": 5000 },', 5_000],
  ])('state the grace period in milliseconds: %s', (section, graceMs) => {
    const settings = parse((text) => text.replace('"coordinates"', `${section}"coordinates"`));
    expect(settings).toMatchObject({ ok: true, value: { shutdown: { graceMs } } });
  });
});
