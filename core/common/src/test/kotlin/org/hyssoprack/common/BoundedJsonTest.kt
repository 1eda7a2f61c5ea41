package org.hyssoprack.common

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isNotNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlinx.serialization.json.JsonElement
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

/** Guards against text of another writer that ends the task which decodes it. */
class BoundedJsonTest {
    @Example
    fun `text is decoded up to the bounds and rejected beyond them`() {
        val most = BoundedJson.MAX_DEPTH
        class Case(val name: String, val text: String, val isDecoded: Boolean)
        val cases = listOf(
            Case("a list", "[1]", isDecoded = true),
            Case("greatest depth", nested(most), isDecoded = true),
            Case("one deeper", nested(most + 1), isDecoded = false),
            Case("far deeper", nested(30_000), isDecoded = false),
            Case("far deeper, never closed", "[".repeat(60_000), isDecoded = false),
            Case("closed before", "]".repeat(100) + nested(30_000), isDecoded = false),
            Case("objects", "{\"a\":".repeat(30_000) + "1" + "}".repeat(30_000), false),
            Case("brackets in a text", "\"${"[".repeat(1_000)}\"", isDecoded = true),
            Case("brackets after a quote", "\"\\\"${"[".repeat(1_000)}\"", isDecoded = true),
            Case("many lists side by side", "[${"[],".repeat(1_000)}1]", isDecoded = true),
            Case("greatest length", textOf(BoundedJson.MAX_CHARS), isDecoded = true),
            Case("one longer", textOf(BoundedJson.MAX_CHARS + 1), isDecoded = false),
            Case("empty", "", isDecoded = false),
            Case("ends within an escape", "\"\\", isDecoded = false)
        )
        for (case in cases) {
            val decoded = onSmallStack {
                BoundedJson.decode(JsonElement.serializer(), case.text).isRight()
            }
            assertThat(decoded, case.name).isEqualTo(case.isDecoded)
        }
    }

    @Property(tries = 500)
    fun `no text fails in any other way than with a reason`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = Random(seed)
        val text = (1..random.nextInt(1, 3_000)).joinToString("") { PIECES.random(random) }
        val result = onSmallStack { BoundedJson.decode(JsonElement.serializer(), text) }
        assertThat(result).isNotNull()
    }

    private fun nested(depth: Int) = "[".repeat(depth) + "]".repeat(depth)

    private fun textOf(chars: Int) = "\"${"a".repeat(chars - 2)}\""

    /** Runs [block] on a stack as small as that of a host's threads. */
    private fun <T> onSmallStack(block: () -> T): T {
        val result = AtomicReference<Result<T>>()
        Thread(null, { result.set(runCatching(block)) }, "small-stack", STACK_BYTES)
            .apply { start() }
            .join()
        return result.get().getOrThrow()
    }

    private companion object {
        const val STACK_BYTES = 262_144L
        val PIECES = listOf(
            "[", "[", "[", "{", "{\"a\":", "]", "}", "\"", "\\", ",", ":", "1", "-1e999", "null",
            "\"k\":", "\u0000", "é", "true"
        )
    }
}
