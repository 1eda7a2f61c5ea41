package org.hyssoprack.policy

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.hasSize
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ResultCode

class PolicySyntaxTest {
    private class Case(val text: String, val expected: String)

    @Example
    fun `a syntax error gives its position, what was found and what was expected`() {
        val cases = listOf(
            Case("teir a objective 99%", "1:1: found 'teir'; 'tier'|'account'|'pool'|'route'"),
            Case("tier objective 99%", "1:16: found '99'; 'objective'"),
            Case("tier a 99%", "1:8: found '99'; 'objective'"),
            Case("tier a objective 99", "1:20: found the end of the text; '%'"),
            Case("tier a objective high", "1:18: found 'high'; a percentage such as 10%"),
            Case("tier \"a\" objective 9%", "1:6: found \"a\"; a tier name"),
            Case("account a share 1.5", "1:17: found '1.5'; a whole number"),
            Case("account a share -1", "1:17: unexpected character '-'"),
            Case("pool p\n  queue 1\n}", "2:3: found 'queue'; '{'"),
            Case("pool p {\n  queue 1\n", "3:1: found the end of the text; '}'"),
            Case("pool p {\n  first-token 350\n}", "3:1: found '}'; 'ms'|'s'|'min'"),
            Case("pool p {\n  first-token 350 h\n}", "2:19: found 'h'; 'ms'|'s'|'min'"),
            Case("pool p {\n  preempt 5 s\n}", "2:11: found '5'; 'after'"),
            Case("pool p {\n  engines \"m\"\n}", "2:11: found \"m\"; 'model'"),
            Case("pool p {\n  service kit\n}", "2:11: found 'kit'; a service name in quotes"),
            Case(
                "pool p {\n  routing fastest\n}",
                "2:11: found 'fastest'; 'cost'|'round-robin'|'least-reported-load'"
            ),
            Case("pool p {\n  queueing fair\n}", "2:12: found 'fair'; 'tiered'|'arrival'"),
            Case(
                "route r {\n  when path \"/a\n}",
                "2:13: the string has no closing quote on its line; '\"'"
            ),
            Case("route r {\n  when account a\n}", "2:16: found 'a'; 'in'"),
            Case("route r {\n  when account in (a b)\n}", "2:22: found 'b'; ','|')'"),
            Case(
                "route r {\n  when user \"a\"\n}",
                "2:8: found 'user'; 'account'|'model'|'service'|'method'|'path'|'lane'"
            ),
            Case(
                "route r {\n  retries 3\n}",
                "2:3: found 'retries'; 'when'|'tier'|'pool'|'deadline'|'once'|'}'"
            ),
            Case("route r {\n  deadline 0.0001 s\n}", "2:12: " + NOT_WHOLE),
            Case(
                "tier a objective 1234567890123%",
                "1:18: the number is too long; at most 12 digits"
            ),
            Case("tier a objective 99% \u0007", "1:22: unexpected character U+0007")
        )
        for (case in cases) {
            assertThat(
                faults(case.text).map {
                    shown(it)
                },
                case.text
            ).containsExactly(case.expected)
        }
    }

    @Example
    fun `one run reports the faults of all statements and of all lines of a block`() {
        val text = """
            tier a objektive 99%
            tier b objective 95%
            pool p {
              engines model m
              queue many
              routing cost
            }
            route r {
              deadline soon
              once
            }
            acount c
        """.trimIndent()
        val places = faults(text).map { "${it.line}:${it.column}" }
        assertThat(places).containsExactly("1:8", "4:17", "5:9", "9:12", "12:1")
        assertThat(faults(text).map { it.code }.distinct())
            .containsExactly(ResultCode.POLICY_SYNTAX)
    }

    @Example
    fun `a text that is too long is refused, and long lists of faults are truncated`() {
        val long = " ".repeat(DefaultPolicyCompiler.MAX_TEXT_CHARS + 1)
        assertThat(faults(long)).hasSize(1)
        val many = "?!".repeat(100_000)
        assertThat(faults(many)).hasSize(DefaultPolicyCompiler.MAX_FAULTS)
    }

    @Example
    fun `the formatter keeps comments and sets the standard layout`() {
        val text = "#top\n\n#second\ntier  a objective 99.50%#kept\n" +
            "pool p{ # beside\nengines model \"m\"\n#before\nqueue 5 first-token 2000ms\n#last\n}\n#end"
        val expected = """
            # top

            # second
            tier a objective 99.5%  # kept

            pool p {
              # beside
              engines model "m"
              # before
              queue 5
              first-token 2 s
              # last
            }
            # end

        """.trimIndent()
        assertThat(DefaultPolicyCompiler().format(text).getOrNull()).isEqualTo(expected)
    }

    private fun faults(text: String): List<PolicyFault> =
        DefaultPolicyCompiler().compile(text).leftOrNull().orEmpty()

    private fun shown(fault: PolicyFault): String {
        val expected = fault.expected.joinToString("|")
        val hint = if (expected.isEmpty()) "" else "; $expected"
        return "${fault.line}:${fault.column}: ${fault.detail}$hint"
    }

    private companion object {
        const val NOT_WHOLE = "the duration is not a whole number of milliseconds"
    }
}
