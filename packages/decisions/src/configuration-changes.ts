/** Compares two routing configurations by their meaning: the order of entries and of keys does not count. */
import type { Organisation, RoutingConfiguration } from '@fighub/core';

/** How an entry differs. The values appear in the output of tools. */
export const ChangeKind = { added: 'added', removed: 'removed', changed: 'changed' } as const;
export type ChangeKind = (typeof ChangeKind)[keyof typeof ChangeKind];

/** One difference. */
export interface ConfigurationChange {
  readonly kind: ChangeKind;
  /** What the entry is, for example `route`. */
  readonly what: string;
  readonly name: string;
  /** What has changed; empty for entries that were added or removed. */
  readonly details: readonly string[];
}

/** A comparable view of an entry: fields by name. */
type Fields = Readonly<Record<string, unknown>>;

/** The differences from `before` to `after`. The versions are not compared. */
export function configurationChanges(
  before: RoutingConfiguration,
  after: RoutingConfiguration,
): ConfigurationChange[] {
  const organisationsOf = ({ organisations = [] }: RoutingConfiguration): readonly Organisation[] =>
    organisations;
  const access = (configuration: RoutingConfiguration): Fields => ({
    keysRequired: configuration.organisations !== undefined,
  });
  return [
    ...entryChanges('route', byName(before.routes), byName(after.routes)),
    ...entryChanges('service', byName(before.services), byName(after.services)),
    ...entryChanges('organisation', byName(organisationsOf(before)), byName(organisationsOf(after))),
    ...fieldChanges('limits', 'limits', { ...before.limits }, { ...after.limits }),
    ...fieldChanges('access', 'access', access(before), access(after)),
  ];
}

function byName<T extends { readonly name: string }>(entries: readonly T[]): ReadonlyMap<string, Fields> {
  return new Map(entries.map((entry) => [entry.name, { ...entry }]));
}

function entryChanges(
  what: string,
  before: ReadonlyMap<string, Fields>,
  after: ReadonlyMap<string, Fields>,
): ConfigurationChange[] {
  const removed = [...before.keys()].filter((name) => !after.has(name));
  const added = [...after.keys()].filter((name) => !before.has(name));
  return [
    ...removed.map((name) => ({ kind: ChangeKind.removed, what, name, details: [] })),
    ...added.map((name) => ({ kind: ChangeKind.added, what, name, details: [] })),
    ...[...after].flatMap(([name, fields]) => {
      const known = before.get(name);
      return known ? fieldChanges(what, name, known, fields) : [];
    }),
  ];
}

function fieldChanges(what: string, name: string, before: Fields, after: Fields): ConfigurationChange[] {
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  const details = fields.flatMap((field) => describeField(field, before[field], after[field]));
  return details.length === 0 ? [] : [{ kind: ChangeKind.changed, what, name, details }];
}

/** Keys are counted, not shown. */
function describeField(field: string, before: unknown, after: unknown): string[] {
  if (field === 'keyDigests') return describeKeys(before, after);
  const [from, to] = [normalised(before), normalised(after)];
  return from === to ? [] : [`${field}: ${from} -> ${to}`];
}

function describeKeys(before: unknown, after: unknown): string[] {
  const [from, to] = [stringsOf(before), stringsOf(after)];
  const added = to.filter((digest) => !from.includes(digest)).length;
  const removed = from.filter((digest) => !to.includes(digest)).length;
  return [
    ...(added > 0 ? [`${String(added)} keys added`] : []),
    ...(removed > 0 ? [`${String(removed)} keys withdrawn`] : []),
  ];
}

function stringsOf(value: unknown): string[] {
  return Array.isArray(value) ? value.map(String) : [];
}

/** JSON in which the order of lists and fields is fixed. */
function normalised(value: unknown): string {
  if (value === undefined) return 'not set';
  if (Array.isArray(value)) return `[${value.map(normalised).sort().join(', ')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  const fields = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return `{${fields.map(([name, field]) => `${name}: ${normalised(field)}`).join(', ')}}`;
}
