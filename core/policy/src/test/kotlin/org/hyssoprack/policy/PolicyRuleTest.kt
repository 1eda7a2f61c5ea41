package org.hyssoprack.policy

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ResultCode

class PolicyRuleTest {
    private val valid = """
        tier high objective 99%
        tier mid objective 98%
        tier low objective 95%
        account alpha share 2
        account beta
        pool engines {
          engines model "m"
          headroom high 10%
        }
        pool desk {
          service "desk"
        }
        route drafts {
          when account in (alpha) and lane "drafts"
          tier high
          pool engines
          deadline 30 s
        }
        route rest {
          tier low
          pool engines
          deadline 5 s
        }
        route orders {
          when method POST and path "/orders/*"
          tier mid
          pool desk
          deadline 5 s
          once
        }
    """.trimIndent()

    /** One change to the valid policy and the faults that it must cause. */
    private class Case(val old: String, val new: String, vararg val faults: String)

    @Example
    fun `the policy that the cases change is valid`() {
        assertThat(faults(valid)).isEmpty()
    }

    @Example
    fun `a name must be declared exactly once`() {
        check(
            Case(
                "mid objective",
                "high objective",
                "2:6: tier 'high' is already declared in line 1",
                "26:8: there is no tier 'mid'"
            ),
            Case("beta\n", "alpha\n", "5:9: account 'alpha' is already declared in line 4"),
            Case(
                "pool desk {",
                "pool engines {",
                "10:6: pool 'engines' is already declared in line 6",
                "27:8: there is no pool 'desk'"
            ),
            Case(
                "route rest",
                "route drafts",
                "19:7: route 'drafts' is already declared in line 13"
            ),
            Case(
                "(alpha)",
                "(alpa)",
                "14:20: there is no account 'alpa'; did you mean 'alpha'?"
            ),
            Case(
                "(alpha)",
                "(zeta)",
                "14:20: there is no account 'zeta'; did you mean 'beta'?"
            ),
            Case("(alpha)", "(gamma-ray)", "14:20: there is no account 'gamma-ray'"),
            Case("(alpha)", "(alpha, alpha)", "14:27: account 'alpha' is listed twice"),
            Case(
                "tier low\n",
                "tier lov\n",
                "20:8: there is no tier 'lov'; did you mean 'low'?"
            ),
            Case(
                "pool desk\n",
                "pool dsk\n",
                "27:8: there is no pool 'dsk'; did you mean 'desk'?"
            ),
            Case(
                "headroom high",
                "headroom hgih",
                "8:12: there is no tier 'hgih'; did you mean 'high'?"
            )
        )
    }

    @Example
    fun `values must be in their range`() {
        check(
            Case("objective 99%", "objective 100%", "1:21: " + OBJECTIVE),
            Case("objective 99%", "objective 0%", "1:21: " + OBJECTIVE),
            Case("share 2", "share 0", "4:21: the value must be from 1 to 1000"),
            Case("headroom high 10%", "headroom high 0%", "8:17: the value must be above 0%"),
            Case("headroom high 10%", "queue 0", "8:9: the value must be from 1 to 1000000"),
            Case(
                "headroom high 10%",
                "long-share 0%",
                "8:14: the value must be from 1% to 100%"
            ),
            Case(
                "headroom high 10%",
                "long-share 101%",
                "8:14: the value must be from 1% to 100%"
            ),
            Case(
                "headroom high 10%",
                "first-token 0 s",
                "8:15: the value must be from 1 ms to 10 min"
            ),
            Case(
                "headroom high 10%",
                "preempt after 2 min",
                "8:17: the value must be from 0 ms to 1 min"
            ),
            Case(
                "deadline 30 s",
                "deadline 0 s",
                "17:12: the value must be from 1 ms to 1440 min"
            ),
            Case("\"m\"", "\" \"", "7:17: the name must not be empty")
        )
    }

    @Example
    fun `a pool has one target that no other pool has and a total headroom below 100 percent`() {
        val target = "pool 'desk' needs either 'engines' or 'service'"
        check(
            Case("service \"desk\"", "queue 5", "10:6: $target"),
            Case("service \"desk\"", "service \"desk\"\nengines model \"n\"", "10:6: $target"),
            Case(
                "service \"desk\"",
                "engines model \"m\"",
                "11:3: pool 'engines' already has engines with model \"m\""
            ),
            Case(
                "headroom high 10%",
                "queue 5 queue 6",
                "8:11: pool 'engines' has 'queue' twice"
            ),
            Case(
                "headroom high 10%",
                "headroom high 5% headroom high 5%",
                "8:29: pool 'engines' has headroom for tier 'high' twice"
            ),
            Case(
                "headroom high 10%",
                "headroom low 5%",
                "8:12: headroom for the lowest tier has no effect: no tier is below it"
            ),
            Case(
                "headroom high 10%",
                "headroom high 60% headroom mid 40%",
                "8:34: the total headroom of 100% leaves nothing for the lowest tier"
            ),
            Case(
                "service \"desk\"",
                "service \"desk\"\nfirst-token 1 s\nlong-share 5%",
                "12:1: 'first-token' is only allowed in pools of engines",
                "13:1: 'long-share' is only allowed in pools of engines"
            )
        )
    }

    @Example
    fun `a route is complete and fits its pool`() {
        check(
            Case("  deadline 30 s\n", "", "13:7: route 'drafts' has no 'deadline'"),
            Case("  tier high\n", "", "13:7: route 'drafts' has no 'tier'"),
            Case(
                "  deadline 30 s\n",
                "deadline 1 s once once\n",
                "17:19: route 'drafts' has 'once' twice"
            ),
            Case(
                "lane \"drafts\"",
                "account in (beta)",
                "14:31: the 'when' clause tests 'account' twice"
            ),
            Case(
                "method POST",
                "method PSOT",
                "25:15: 'PSOT' is not an HTTP method; did you mean 'POST'?"
            ),
            Case("\"/orders/*\"", "\"orders\"", "25:29: the path must start with '/'"),
            Case(
                "\"/orders/*\"",
                "\"/a/*/b\"",
                "25:29: '*' is only allowed at the end of a path"
            ),
            Case(
                "lane \"drafts\"",
                "model \"n\"",
                "14:31: the condition contradicts pool 'engines', " +
                    "which has engines with model \"m\""
            ),
            Case(
                "lane \"drafts\"",
                "service \"desk\"",
                "14:31: the condition contradicts pool 'engines', " +
                    "which has engines with model \"m\""
            ),
            Case(
                "method POST",
                "model \"m\"",
                "25:8: the condition contradicts pool 'desk', which has service \"desk\""
            )
        )
    }

    @Example
    fun `a call that may not be repeated is in the highest tier of its pool`() {
        val lookup = "\nroute lookup {\n  tier high\n  pool desk\n  deadline 1 s\n}"
        check(
            Case(
                "  once\n}",
                "  once\n}$lookup",
                "29:3: a call that may not be repeated is never preempted, so its route must " +
                    "be in 'high', the highest tier of pool 'desk' (line 32)"
            )
        )
        assertThat(faults(valid + lookup.replace("tier high", "tier mid"))).isEmpty()
        assertThat(faults(valid + lookup.replace("tier high", "tier low"))).isEmpty()
    }

    @Example
    fun `a route that is unreachable behind earlier routes is a fault`() {
        val tail = "\nroute late {\n  when %s\n  tier low\n  pool engines\n  deadline 1 s\n}"
        val shadowed = valid + tail.replace("%s", "path \"/v1/completions\"")
        assertThat(faults(shadowed))
            .containsExactly("31:7: route 'late' is unreachable after 'rest'")
        val split = valid
            .replace("route rest {", "route rest {\n  when account in (beta)")
            .replace(" and lane \"drafts\"", "")
        assertThat(faults(split + tail.replace("%s", "lane \"x\"")))
            .containsExactly("32:7: route 'late' is unreachable after 'drafts', 'rest'")
        val paths = listOf(
            "method POST and path \"/orders/new\"" to 1,
            "path \"/orders/*\"" to 0,
            "method POST and path \"/orders*\"" to 0,
            "method POST and path \"/orders/new/*\"" to 1
        )
        for ((test, count) in paths) {
            val route = tail.replace("%s", test).replace("pool engines", "pool desk")
            val expected = List(count) { "31:7: route 'late' is unreachable after 'orders'" }
            assertThat(faults(valid + route), test).isEqualTo(expected)
        }
    }

    private fun check(vararg cases: Case) {
        for (case in cases) {
            val text = valid.replaceFirst(case.old, case.new)
            assertThat(faults(text), "${case.old} -> ${case.new}").containsExactly(*case.faults)
        }
    }

    private fun faults(text: String): List<String> {
        val faults = DefaultPolicyCompiler().compile(text).leftOrNull().orEmpty()
        check(faults.all { it.code == ResultCode.POLICY_RULE }) { faults.toString() }
        return faults.map { "${it.line}:${it.column}: ${it.detail}" }
    }

    private companion object {
        const val OBJECTIVE = "the objective must be above 0% and below 100%"
    }
}
