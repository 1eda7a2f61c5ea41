package org.hyssoprack.standins.engine

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isNull
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class PrefixCacheTest {
    private val cache = PrefixCache(maxTokens = 4 * BLOCK_TOKENS)

    @Example
    fun `only complete blocks of the common prefix count as cached`() {
        store("a".repeat(BLOCK_CHARS) + "b".repeat(BLOCK_CHARS), hash = 1)
        cases.forEach { (prompt, blocks) ->
            val cached = cache.cachedTokens(cache.keys(prompt))
            assertThat(cached, name = prompt.take(8)).isEqualTo(blocks * BLOCK_TOKENS)
        }
    }

    @Example
    fun `the least recently used prefix is evicted first, from its end`() {
        val old = "a".repeat(2 * BLOCK_CHARS)
        store(old, hash = 1)
        store("b".repeat(2 * BLOCK_CHARS), hash = 2)
        val first = store("c".repeat(BLOCK_CHARS), hash = 3)
        assertThat(first.evicted).isEqualTo(emptyList())
        assertThat(cache.cachedTokens(cache.keys(old))).isEqualTo(BLOCK_TOKENS)
        val second = store("d".repeat(BLOCK_CHARS), hash = 4)
        assertThat(second.evicted).containsExactly(1L)
    }

    @Example
    fun `a prefix is reported as stored once while it is cached`() {
        val prompt = "a".repeat(BLOCK_CHARS)
        assertThat(store(prompt, hash = 1).stored).isEqualTo(1L)
        assertThat(store(prompt, hash = 1).stored).isNull()
    }

    @Property(tries = 100)
    fun `the cache never exceeds its token limit`(@ForAll prompts: List<Short>) {
        val stored = prompts.map { prompt(it.mod(DIGITS)) }
        stored.forEach { store(it, hash = it.hashCode().toLong()) }
        val held = stored.distinct().sumOf { cache.cachedTokens(cache.keys(it)) }
        assertThat(held).isLessThanOrEqualTo(4 * BLOCK_TOKENS)
    }

    private fun prompt(digit: Int): String = "$digit".repeat((digit + 1) * BLOCK_CHARS / 2)

    private fun store(prompt: String, hash: Long): CacheChange =
        cache.store(cache.keys(prompt), hash)

    private companion object {
        const val DIGITS = 10
        const val BLOCK_CHARS = 256
        const val BLOCK_TOKENS = 64
        val cases = listOf(
            "a".repeat(BLOCK_CHARS) to 1,
            "a".repeat(BLOCK_CHARS) + "b".repeat(BLOCK_CHARS) + "c" to 2,
            "a".repeat(BLOCK_CHARS) + "c".repeat(BLOCK_CHARS) to 1,
            "c" + "a".repeat(BLOCK_CHARS) to 0,
            "a".repeat(BLOCK_CHARS - 1) to 0,
            "b".repeat(BLOCK_CHARS) to 0
        )
    }
}
