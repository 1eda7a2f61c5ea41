package org.hyssoprack.bench.analysis

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.bench.experiment.LengthDistribution
import org.hyssoprack.bench.experiment.TrafficClass
import org.hyssoprack.bench.load.PlannedRequest

class PrefillAuditTest {
    @Example
    fun `wasted prefill is counted once under its cause`() {
        cases.forEach { case ->
            val audit = PrefillAudit(engineEvents = case.engine, hostEvents = case.host)
            val count = audit.count(mapOf("p" to prefixed(), "q" to prefixed()))
            assertThat(count.wasted, name = case.name).isEqualTo(case.wasted)
            assertThat(count.total, name = case.name).isEqualTo(case.total)
        }
    }

    private fun prefixed() = PlannedRequest(
        number = 1,
        atMs = 0.0,
        traffic = TrafficClass(
            name = "c",
            tier = "t",
            account = "a",
            weight = 1.0,
            prompt = LengthDistribution(median = 1, max = 1),
            answer = LengthDistribution(median = 1, max = 1),
            prefixGroups = 1,
            prefixTokens = 130,
            deadlineMs = 1
        ),
        promptTokens = 200,
        answerTokens = 1,
        prefixGroup = 0
    )

    private class Case(
        val name: String,
        val engine: List<LoggedEvent>,
        val host: List<LoggedEvent> = emptyList(),
        val wasted: Map<WasteCause, Long> = emptyMap(),
        val total: Long
    )

    private companion object {
        fun event(name: String, request: String, vararg more: Pair<String, String>) = LoggedEvent(
            process = "e1",
            name = name,
            fields = mapOf("request" to request) + more
        )

        fun began(request: String, cached: Int = 0) = event(
            "engine-began",
            request,
            "prompt_tokens" to "200",
            "cached_tokens" to "$cached"
        )

        fun ended(request: String, reason: String, prefilled: Int = 200) = event(
            "engine-ended",
            request,
            "reason" to reason,
            "prefilled_tokens" to "$prefilled"
        )

        val cases = listOf(
            Case("done", listOf(began("a"), ended("a", "done")), total = 200),
            Case(
                "preempted during prefill",
                listOf(began("a"), ended("a", "cancelled", prefilled = 64)),
                host = listOf(event("preempted", "a")),
                wasted = mapOf(WasteCause.PREEMPTED to 64L),
                total = 64
            ),
            Case(
                "deadline passed",
                listOf(began("a"), ended("a", "cancelled")),
                host = listOf(event("finished", "a", "code" to "3004")),
                wasted = mapOf(WasteCause.DEADLINE to 200L),
                total = 200
            ),
            Case(
                "engine terminated",
                listOf(began("a", cached = 64)),
                wasted = mapOf(WasteCause.ENGINE_DIED to 136L),
                total = 136
            ),
            Case(
                "shared prefix served from the cache",
                listOf(
                    began("p"),
                    ended("p", "done"),
                    began("q", cached = 128),
                    ended("q", "done", prefilled = 72)
                ),
                total = 272
            ),
            Case(
                "shared prefix processed again",
                listOf(began("p"), ended("p", "done"), began("q"), ended("q", "done")),
                wasted = mapOf(WasteCause.PREFIX_REPEATED to 128L),
                total = 400
            )
        )
    }
}
