/** The ordered map of the package `sorted-btree`, a CommonJS module whose class is the property `default`. */
import sortedBtree from 'sorted-btree';

/** A map that iterates in the order of a comparison of its keys. */
export type OrderedMap<K, V> = InstanceType<typeof sortedBtree.default<K, V>>;

/** An empty map; `compare` returns a negative number when `a` comes before `b`. */
export function orderedMap<K, V>(compare: (a: K, b: K) => number): OrderedMap<K, V> {
  return new sortedBtree.default<K, V>(undefined, compare);
}
