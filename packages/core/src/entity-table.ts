/** In-memory storage for entities of one kind, keyed by identifier. */

/** A table that iterates over its entities in insertion order. */
export class EntityTable<T> {
  private readonly rows = new Map<string, T>();

  get size(): number {
    return this.rows.size;
  }

  get(id: string): T | undefined {
    return this.rows.get(id);
  }

  has(id: string): boolean {
    return this.rows.has(id);
  }

  set(id: string, entity: T): void {
    this.rows.set(id, entity);
  }

  /** Removes the entity and returns it; undefined when there is none with this id. */
  take(id: string): T | undefined {
    const entity = this.rows.get(id);
    this.rows.delete(id);
    return entity;
  }

  /** A copy of the list of entities, which stays valid while the table changes. */
  all(): T[] {
    return [...this.rows.values()];
  }

  ids(): string[] {
    return [...this.rows.keys()];
  }

  clear(): void {
    this.rows.clear();
  }
}
