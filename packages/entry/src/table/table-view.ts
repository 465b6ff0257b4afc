/** Typed look-ups in the rows of the operators' table. */
import type { ModelRow, OrganisationRow, ServiceRow, ShareRow, StoredRow, UpstreamRow } from '@fighub/core';
import { RowKind, modelSchema, rowKindOf, shareSchema } from '@fighub/core';

/** An upstream with its name. */
export interface NamedUpstream extends UpstreamRow {
  readonly upstreamId: string;
}

/** An organisation with its name. */
export interface NamedOrganisation extends OrganisationRow {
  readonly organisation: string;
}

const DEFAULT_SHARE = shareSchema.parse({});

/** An immutable view of all rows that are not deleted. It is rebuilt when a bucket changes. */
export class TableView {
  private readonly values = new Map<string, unknown>();
  private readonly organisationByKeyHash = new Map<string, NamedOrganisation>();
  private readonly upstreamsByTarget = new Map<string, NamedUpstream[]>();

  constructor(rows: readonly StoredRow[]) {
    rows.filter((row) => !row.deleted).forEach((row) => this.index(row));
  }

  /** Returns the organisation of a key, by the digest of the key. Keys of retired organisations are not found. */
  organisationOfKey(keyHash: string): NamedOrganisation | undefined {
    return this.organisationByKeyHash.get(keyHash);
  }

  /** Returns the row of a model; undefined if it has none. */
  model(name: string): ModelRow | undefined {
    return this.values.get(`model/${name}`) as ModelRow | undefined;
  }

  /** Returns the row of a model, or the defaults if it has none. */
  modelOrDefault(name: string): ModelRow {
    return this.model(name) ?? modelSchema.parse({});
  }

  /** Returns the names of all models, sorted. */
  models(): string[] {
    return this.names(RowKind.model);
  }

  /** Returns the row of a plain service. */
  service(name: string): ServiceRow | undefined {
    return this.values.get(`service/${name}`) as ServiceRow | undefined;
  }

  /** Returns the upstreams that serve a model or a plain service. */
  upstreamsOf(target: string): readonly NamedUpstream[] {
    return this.upstreamsByTarget.get(target) ?? [];
  }

  /** Returns the upstreams of all models and services. */
  upstreams(): NamedUpstream[] {
    return [...this.upstreamsByTarget.values()].flat();
  }

  /**
   * Returns the most specific share row for an organisation and a model, or the defaults if there is none. A row for
   * the organisation takes precedence over a row for the model.
   */
  share(organisation: string, model: string): ShareRow {
    const keys = [
      `share/${organisation}/${model}`,
      `share/${organisation}/*`,
      `share/*/${model}`,
      'share/*/*',
    ];
    const found = keys.find((key) => this.values.has(key));
    return found === undefined ? DEFAULT_SHARE : (this.values.get(found) as ShareRow);
  }

  private names(kind: RowKind): string[] {
    return [...this.values.keys()]
      .filter((key) => rowKindOf(key) === kind)
      .map((key) => key.slice(kind.length + 1))
      .sort();
  }

  private index(row: StoredRow): void {
    this.values.set(row.key, row.value);
    const kind = rowKindOf(row.key);
    const name = row.key.slice(kind.length + 1);
    if (kind === RowKind.organisation) this.indexOrganisation(name, row.value as OrganisationRow);
    if (kind === RowKind.upstream) this.indexUpstream(name, row.value as UpstreamRow);
  }

  private indexOrganisation(organisation: string, value: OrganisationRow): void {
    if (value.retired) return;
    value.keyHashes.forEach((hash) => this.organisationByKeyHash.set(hash, { ...value, organisation }));
  }

  private indexUpstream(upstreamId: string, value: UpstreamRow): void {
    const list = this.upstreamsByTarget.get(value.serves) ?? [];
    list.push({ ...value, upstreamId });
    this.upstreamsByTarget.set(value.serves, list);
  }
}
