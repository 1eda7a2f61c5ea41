package org.hyssoprack.policy

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import assertk.assertions.isNotNull
import java.nio.file.Path
import kotlin.io.path.readText
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide

class PolicyFuzzTest {
    private val compiler = DefaultPolicyCompiler()
    private val example = Path.of("../../examples/keepsake/policy.hys").readText()

    @Property(tries = 1_000)
    fun `any text gives a policy or faults with a position inside it`(@ForAll text: String) =
        verifyResult(text)

    @Property(tries = 1_000)
    fun `any sequence of tokens of the language gives a policy or faults`(
        @ForAll("sentences") text: String
    ) = verifyResult(text)

    @Property(tries = 1_000)
    fun `any replaced section of a valid text gives a policy or faults`(
        @ForAll("edits") text: String
    ) = verifyResult(text)

    @Property(tries = 300)
    fun `formatting changes neither the meaning nor a formatted text`(
        @ForAll("policies") text: String
    ) {
        val policy = compiler.compile(text).getOrNull()
        val formatted = compiler.format(text).getOrNull()
        assertThat(policy).isNotNull()
        assertThat(compiler.compile(formatted!!).getOrNull()).isEqualTo(policy)
        assertThat(compiler.format(formatted).getOrNull()).isEqualTo(formatted)
    }

    private fun verifyResult(text: String) {
        compiler.format(text)
        for (fault in compiler.compile(text).leftOrNull().orEmpty()) {
            val lines = text.split('\n')
            assertThat(fault.line).isGreaterThan(0)
            assertThat(lines.size + 1).isGreaterThan(fault.line)
            assertThat(lines[fault.line - 1].length + 2).isGreaterThan(fault.column)
        }
    }

    @Provide
    fun sentences(): Arbitrary<String> =
        Arbitraries.of(WORDS).list().ofMaxSize(60).map { it.joinToString(" ") }

    @Provide
    fun edits(): Arbitrary<String> {
        val places = Arbitraries.integers().between(0, example.length)
        val inserts = Arbitraries.of(WORDS)
        return places.flatMap { from ->
            places.flatMap { to ->
                inserts.map { example.take(minOf(from, to)) + it + example.drop(maxOf(from, to)) }
            }
        }
    }

    /** Valid policies with all kinds of values, irregular white space and comments anywhere. */
    @Provide
    fun policies(): Arbitrary<String> = Arbitraries.randomValue { random ->
        PolicyTextGenerator(random).text()
    }

    private companion object {
        val WORDS = listOf(
            "tier", "account", "pool", "route", "{", "}", "(", ")", ",", "%", "\n", "objective",
            "share", "engines", "model", "service", "first-token", "between-tokens", "headroom",
            "preempt", "after", "queue", "long-share", "routing", "queueing", "when", "and", "in",
            "method", "path", "lane", "deadline", "once", "ms", "s", "min", "99", "1.5", "0",
            "\"m\"", "\"\\", "# c\n", "a", "b", "cost", "tiered", "\u0000", "\uD83D"
        )
    }
}
