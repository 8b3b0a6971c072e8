package io.mimosatrail.core.quarantine

/** A map of at most [capacity] entries, which drops the one that was written least recently. */
internal class RecentMap<K, V>(private val capacity: Int) {
    private val values = LinkedHashMap<K, V>()

    val keys: Set<K> get() = values.keys
    val entries: Set<Map.Entry<K, V>> get() = values.entries

    operator fun get(key: K): V? = values[key]

    operator fun set(key: K, value: V) {
        values.remove(key)
        values[key] = value
        if (values.size > capacity) values.remove(values.keys.first())
    }

    operator fun minusAssign(key: K) {
        values -= key
    }

    operator fun contains(key: K): Boolean = key in values

    fun getOrPut(key: K, create: () -> V): V = values[key] ?: create().also { set(key, it) }

    /** Returns true if anything was removed. */
    fun removeKeyIf(isObsolete: (K) -> Boolean): Boolean = values.keys.removeIf(isObsolete)

    /** Returns true if anything was removed. */
    fun removeIf(isObsolete: (V) -> Boolean): Boolean = values.values.removeIf(isObsolete)
}
