package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ManualClock

class CrashingRequestRegistryTest {
    private val first = "first"
    private val a = "a"
    private val one = "request:01"
    private val two = "request:02"
    private val three = "request:03"
    private var fleet = CrashingPartFleet(ManualClock(100_000), hosts = 5)

    private class Case(
        val name: String,
        val blocked: Set<String>,
        val events: CrashingPartFleet.() -> Unit
    )

    private fun check(cases: List<Case>) {
        for (case in cases) {
            fleet = CrashingPartFleet(ManualClock(100_000), hosts = 5)
            case.events(fleet)
            fleet.registries.indices.forEach { host ->
                val blocked = listOf(first, a, one, two, three)
                    .filter { fleet.verdict(it, host = host) != PartVerdict.Allowed }
                assertThat(blocked.toSet(), "${case.name}, host $host").isEqualTo(case.blocked)
            }
        }
    }

    @Example
    fun `a request that ends three servers is blocked, and none of its parts`() = check(
        listOf(
            Case("seen by one host", setOf(one)) { repeat(3) { crash(first, a, one) } },
            Case("each seen by another host", setOf(one)) {
                (1..3).forEach { crash(first, a, one, host = it) }
            },
            Case("a request without a prompt", setOf(one)) { repeat(3) { crash(one) } },
            Case("two servers", emptySet()) { repeat(2) { crash(first, a, one) } },
            Case("three servers at the same moment", emptySet()) {
                repeat(3) { crash(first, a, one, host = it, after = 0) }
            },
            Case("three servers at the same moment, and one more", setOf(one)) {
                repeat(3) { crash(first, a, one, host = it, after = 0) }
                advance(5_000)
                crash(first, a, one)
            },
            Case("sound requests with the same parts beside it", setOf(one)) {
                begin(first, a)
                repeat(4) {
                    val neighbour = "request:1$it"
                    val requests = listOf(1 to listOf(first, a, neighbour), 2 to listOf(a, one))
                    crash(newServer(), requests)
                    advance(1_000)
                    begin(first, a, neighbour)
                }
            },
            Case("a neighbour's report comes first", setOf(one)) {
                repeat(3) {
                    val server = newServer()
                    crash(server, listOf(1 to listOf(a, "request:1$it")))
                    crash(server, listOf(2 to listOf(a, one)))
                    advance(1_000)
                }
            },
            Case("the part had begun, and another crash", setOf(one)) {
                begin(first, a)
                repeat(4) { crash(first, a, one) }
                crash(first, a, two)
            },
            Case("the owner changes in mid-count", setOf(one)) {
                repeat(2) { crash(first, a, one, host = 3) }
                changeOwner(1)
                crash(first, a, one, host = 2)
            },
            Case("the owner changes after the block", setOf(one)) {
                begin(first, a)
                repeat(4) { crash(first, a, one, host = 3) }
                changeOwner(1)
                crash(first, a, two, host = 2)
            }
        )
    )

    @Example
    fun `a part under which different requests crash is blocked however often each came`() = check(
        listOf(
            Case("each once", setOf(a)) { listOf(one, two, three).forEach { crash(first, a, it) } },
            Case("each twice", setOf(a)) {
                listOf(one, two, three).forEach { request -> repeat(2) { crash(a, request) } }
            },
            Case("each three times", setOf(a)) {
                listOf(one, two, three).forEach { request -> repeat(3) { crash(a, request) } }
            },
            Case("a part that had begun, each twice", setOf(a)) {
                begin(a)
                listOf(one, two, three).forEach { request -> repeat(2) { crash(a, request) } }
            },
            Case("a sound request that is sent to three servers which the part ends", setOf(a)) {
                begin(first)
                repeat(3) {
                    val requests = listOf(1 to listOf(a, "request:1$it"), 2 to listOf(first, one))
                    crash(newServer(), requests)
                    advance(200)
                }
                crash(a, two)
            },
            Case("a sound request that is sent to three servers which another ends", setOf(two)) {
                begin(first)
                repeat(3) {
                    crash(newServer(), listOf(1 to listOf(first, one), 2 to listOf(first, two)))
                    advance(200)
                }
                crash(first, two)
            },
            Case("a deadly request beside a deadly part", setOf(a, three)) {
                repeat(3) {
                    crash(first, a, "request:1$it", host = 1)
                    crash(first, three, host = 2)
                    begin(first)
                }
            }
        )
    )

    @Example
    fun `a response that begins clears the request`() = check(
        listOf(
            Case("in between", emptySet()) {
                repeat(2) { crash(first, one) }
                begin(first, one, host = 2)
                repeat(2) { crash(first, one) }
            },
            Case("before, four crashes", emptySet()) {
                begin(one)
                repeat(4) { crash(one) }
            },
            Case("before, five crashes", setOf(one)) {
                begin(one)
                repeat(5) { crash(one) }
            }
        )
    )

    @Example
    fun `one repeat is let through in three hours of them`() {
        repeat(3) { fleet.crash(first, one) }
        var sent = 0
        repeat(3 * SECONDS_PER_HOUR) {
            if (fleet.send(first, one, host = it % 5)) sent++
            fleet.advance(1_000)
        }
        assertThat(sent).isEqualTo(1)
    }

    private companion object {
        const val SECONDS_PER_HOUR = 3_600
    }
}
