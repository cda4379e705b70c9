use indexmap::IndexMap;

/// A map whose iteration order is that of insertion, so that no decision depends on the seeds of
/// hash maps; with the fast hasher of [`hashbrown`].
pub(crate) type OrderedMap<K, V> = IndexMap<K, V, hashbrown::DefaultHashBuilder>;
