package org.hyssoprack.standins.engine

import org.hyssoprack.backend.CompletionBody
import org.hyssoprack.backend.PrefixHash

/** LRU cache of the prefix blocks of prompts, limited to [maxTokens]. */
internal class PrefixCache(private val maxTokens: Int) {
    private val blocks = LinkedHashMap<Long, Long?>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Returns keys of the complete blocks of [prompt]; a key covers all earlier blocks too. */
    fun keys(prompt: String): LongArray {
        val keys = LongArray(prompt.length / PrefixHash.BLOCK_CHARS)
        var hash = FNV_OFFSET
        for (i in 0 until keys.size * PrefixHash.BLOCK_CHARS) {
            hash = (hash xor prompt[i].code.toLong()) * FNV_PRIME
            if ((i + 1) % PrefixHash.BLOCK_CHARS == 0) keys[i / PrefixHash.BLOCK_CHARS] = hash
        }
        return keys
    }

    /** Returns the number of tokens at the start of a prompt that are cached. */
    fun cachedTokens(keys: LongArray): Int =
        keys.takeWhile { blocks.containsKey(it) }.size * BLOCK_TOKENS

    /**
     * Stores a prompt. The first block becomes the most recently used one, so that the blocks at
     * the end of a prefix are evicted first.
     *
     * @param prefixHash hash under which the prompt's first block is published.
     * @return published hashes that were stored and evicted.
     */
    fun store(keys: LongArray, prefixHash: Long): CacheChange {
        if (keys.isEmpty()) return CacheChange(stored = null, evicted = emptyList())
        val isNew = !blocks.containsKey(keys.first())
        for (i in keys.indices.reversed()) {
            blocks[keys[i]] = if (i == 0) prefixHash else null
        }
        return CacheChange(stored = prefixHash.takeIf { isNew }, evicted = evict())
    }

    private fun evict(): List<Long> {
        val evicted = mutableListOf<Long>()
        val entries = blocks.entries.iterator()
        while (blocks.size * BLOCK_TOKENS > maxTokens && entries.hasNext()) {
            entries.next().value?.let(evicted::add)
            entries.remove()
        }
        return evicted
    }

    private companion object {
        const val BLOCK_TOKENS = PrefixHash.BLOCK_CHARS / CompletionBody.CHARS_PER_TOKEN
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f
        const val FNV_OFFSET = -3750763034362895579L
        const val FNV_PRIME = 1099511628211L
    }
}
