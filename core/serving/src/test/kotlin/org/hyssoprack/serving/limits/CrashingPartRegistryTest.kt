package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.containsExactlyInAnyOrder
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isTrue
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import net.jqwik.api.Example
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.LogField
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.limits.CrashingPartFleet.Companion.ids

class CrashingPartRegistryTest {
    private val first = "first"
    private val a = "a"
    private val b = "b"
    private val c = "c"
    private val d = "d"
    private val log = NoOpEventLog
    private val hostOne = CrashingPartFleet.hostId(1)
    private var fleet = CrashingPartFleet(ManualClock(100_000), hosts = 5)

    private class Case(
        val name: String,
        val blocked: Set<String>,
        val events: CrashingPartRegistryTest.() -> Unit
    )

    private fun check(cases: List<Case>) {
        for (case in cases) {
            fleet = CrashingPartFleet(ManualClock(100_000), hosts = 5)
            case.events(this)
            fleet.registries.indices.forEach { host ->
                val blocked = listOf(first, a, b, c, d).filter { isBlocked(it, host) }.toSet()
                assertThat(blocked, "${case.name}, host $host").isEqualTo(case.blocked)
            }
        }
    }

    @Example
    fun `a part that crashes servers is blocked and no other`() = check(
        listOf(
            Case("three servers, seen by the owner", setOf(a)) {
                repeat(3) { fleet.crash(a) }
            },
            Case("two servers", emptySet()) { repeat(2) { fleet.crash(a) } },
            Case("one crash by each of three hosts", setOf(a)) {
                (1..3).forEach { fleet.crash(a, host = it) }
            },
            Case("each of five hosts sees a part of three crashes", setOf(d)) {
                begin(first)
                repeat(3) {
                    val others =
                        listOf(a, b, c).map { listOf(first, it) } + listOf(listOf(first, d))
                    fleet.crash(
                        fleet.newServer(),
                        others.mapIndexed { at, parts ->
                            at + 1 to parts
                        }
                    )
                    fleet.advance(1_000)
                    begin(first, a)
                    begin(first, b)
                    begin(first, c)
                }
            },
            Case("one server whose connections break at five hosts", emptySet()) {
                fleet.crash(fleet.newServer(), (0..4).map { it to listOf(a) })
                fleet.advance(1_000)
            },
            Case("the deepest of two rare parts", setOf(b)) {
                begin(first)
                repeat(3) { fleet.crash(first, a, b) }
            },
            Case("a sound parent, in later crashes of the blocked part as well", setOf(b)) {
                begin(first)
                repeat(5) { fleet.crash(first, a, b) }
            },
            Case("a deadly parent at the next crash after its sound child", setOf(a, b)) {
                begin(first)
                repeat(3) { fleet.crash(first, a, b) }
                fleet.crash(first, a, c)
            },
            Case("the parent with more crashes than each of its children", setOf(a)) {
                fleet.crash(first, a, b)
                begin(first)
                fleet.crash(first, a, c)
                fleet.crash(first, a, d)
            },
            Case("two deadly parts at once", setOf(a, b)) {
                repeat(3) {
                    fleet.crash(first, a, host = 1)
                    begin(first)
                    fleet.crash(first, b, host = 2)
                    begin(first)
                }
            },
            Case("eight requests beside, then one more", setOf(a)) {
                repeat(8) { fleet.crash(a, host = it % 5, after = 10) }
                fleet.advance(1_000)
                fleet.crash(a)
            },
            Case("a part that had begun needs five crashes, four", emptySet()) {
                begin(a)
                repeat(4) { fleet.crash(a) }
            },
            Case("a part that had begun needs five crashes, five", setOf(a)) {
                begin(a)
                repeat(5) { fleet.crash(a) }
            },
            Case("a part that had begun at another host", emptySet()) {
                fleet.begin(a, host = 3)
                fleet.advance(1_000)
                repeat(4) { fleet.crash(a, host = 1) }
            },
            Case("one server process whose connections break again and again", emptySet()) {
                val server = fleet.newServer()
                repeat(6) {
                    fleet.crash(server, listOf(it % 5 to listOf(a)))
                    fleet.advance(1_000)
                }
            },
            Case("servers that take the place of each other at one address", setOf(a)) {
                val born = List(3) { fleet.newServer() }
                assertThat(born.map { it.address }.distinct().size).isEqualTo(1)
                for (server in born) {
                    fleet.crash(server, listOf(1 to listOf(a)))
                    fleet.advance(1_000)
                }
            },
            Case("crashes without parts", emptySet()) { repeat(6) { fleet.crash() } }
        )
    )

    @Example
    fun `a first event clears a part, in whichever order the news arrives`() = check(
        listOf(
            Case("between the crashes", emptySet()) {
                repeat(9) {
                    fleet.crash(first, host = it % 5)
                    begin(first, host = (it + 1) % 5)
                }
            },
            Case("a mass crash of many servers at once", emptySet()) {
                begin(first)
                repeat(13) { fleet.crash(first, a, host = it % 5, after = 5) }
                begin(first, host = 2)
                fleet.crash(first)
                fleet.crash(first)
            },
            Case("a mass crash with nothing begun before", emptySet()) {
                repeat(13) { fleet.crash(first, host = it % 5, after = 5) }
            },
            Case("after the block", emptySet()) {
                repeat(3) { fleet.crash(a) }
                begin(a, host = 4)
            },
            Case("crashes older than it", emptySet()) {
                begin(a)
                repeat(6) {
                    val crash = crashOf(a, ageMs = 5_000L - 900 * it)
                    fleet.ownerRegistry.recordCrash(crash, CrashingPartFleet.hostId(1))
                }
                fleet.advance(1_000)
            },
            Case("crashes after it of which the owner hears later", setOf(a)) {
                begin(b)
                repeat(3) {
                    val crash = crashOf(a, ageMs = 5_000L - 900 * it)
                    fleet.ownerRegistry.recordCrash(crash, CrashingPartFleet.hostId(1))
                }
                fleet.advance(1_000)
            }
        )
    )

    @Example
    fun `a report that arrives again counts once`() {
        val owner = fleet.ownerRegistry
        val reports = List(2) { crashOf(a) }
        repeat(10) {
            reports.forEach {
                owner.recordCrash(it.copy(ageMs = 1_000L * it.hashCode().mod(2)), hostOne)
            }
            fleet.advance(500)
        }
        assertThat(owner.records().single().crashes.size).isEqualTo(2)
        assertThat(owner.blockedCount).isEqualTo(0)
    }

    @Example
    fun `a crash is reported until the owner lists it, or for ten seconds`() {
        val registry = CrashingPartRegistry(fleet.clock, log)
        registry.recordCrash(crashOf(a))
        assertThat(registry.hasNews).isTrue()
        val reported = registry.takeUnreported()
        assertThat(registry.hasNews).isFalse()
        fleet.clock.advance(1_000)
        assertThat(registry.takeUnreported()).isEqualTo(reported.map { it.copy(ageMs = 1_000) })
        fleet.ownerRegistry.recordCrash(reported.single(), hostOne)
        registry.confirm(fleet.ownerRegistry.records(), hostOne)
        assertThat(registry.takeUnreported()).isEmpty()

        registry.recordCrash(crashOf(b))
        repeat(10) {
            assertThat(registry.takeUnreported().map { it.parts }).containsExactly(ids(listOf(b)))
            registry.confirm(emptyList(), hostOne)
            fleet.clock.advance(1_000)
        }
        registry.confirm(emptyList(), hostOne)
        assertThat(registry.takeUnreported()).isEmpty()
    }

    @Example
    fun `a report of a blocked part that comes late takes the blame from the others`() {
        repeat(3) { fleet.crash(d) }
        repeat(2) { fleet.crash(a) }
        val server = fleet.newServer()
        fleet.crash(server, listOf(1 to listOf(a)))
        assertThat(isBlocked(a)).isTrue()
        fleet.clock.advance(5)
        fleet.crash(server, listOf(2 to listOf(d)))
        assertThat(isBlocked(a)).isFalse()
        fleet.crash(a)
        assertThat(isBlocked(a)).isTrue()
    }

    @Example
    fun `a part that had begun is not blocked before all hosts have reported the crash`() {
        begin(first)
        begin(a)
        repeat(5) {
            val server = fleet.newServer()
            fleet.crash(server, listOf(1 to listOf(first)))
            assertThat(isBlocked(first)).isFalse()
            fleet.clock.advance(20)
            fleet.crash(server, listOf(2 to listOf(first, a)))
            fleet.advance(1_000)
        }
        assertThat(isBlocked(first)).isFalse()
        assertThat(isBlocked(a)).isTrue()
    }

    @Example
    fun `a better suspect that is reported a moment later is blocked instead`() {
        repeat(2) { fleet.crash(a) }
        repeat(3) { fleet.crash(b, after = 100) }
        val server = fleet.newServer()
        fleet.advance(1_000)
        fleet.crash(server, listOf(1 to listOf(a), 2 to listOf(b)))
        assertThat(isBlocked(a)).isFalse()
        assertThat(isBlocked(b)).isTrue()
    }

    @Example
    fun `a block holds for all versions of its service and for no other service`() {
        repeat(3) {
            fleet.crash(a)
            fleet.registries[0].recordBegun(fleet.service, "2", ids(listOf(a)))
            fleet.registries[0].recordBegun(ServiceId("other"), "1", ids(listOf(a)))
        }
        assertThat(fleet.verdict(a)).isEqualTo(PartVerdict.Blocked(PromptPartId(a)))
        assertThat(fleet.registries[0].verdict(ServiceId("other"), ids(listOf(a))))
            .isEqualTo(PartVerdict.Allowed)
    }

    @Example
    fun `crashes on different services or versions do not add up`() {
        for (version in listOf("1", "2", null)) {
            fleet.registries[0].recordCrash(crashOf(a).copy(version = version))
            fleet.advance(1_000)
        }
        for (service in listOf("x", "y")) {
            fleet.registries[0].recordCrash(crashOf(a).copy(service = ServiceId(service)))
            fleet.advance(1_000)
        }
        assertThat(fleet.registries[0].blockedCount).isEqualTo(0)
    }

    @Example
    fun `crashes are forgotten after ten minutes, a block is not`() {
        repeat(2) { fleet.crash(a) }
        repeat(3) { fleet.crash(b) }
        fleet.advance(601_000)
        fleet.crash(a)
        assertThat(isBlocked(a)).isFalse()
        assertThat(fleet.ownerRegistry.blockedCount).isEqualTo(1)
    }

    @Example
    fun `there are two trials in three hours of requests, at 30 s and 240 s later`() {
        repeat(3) { fleet.crash(a) }
        val blockedMs = fleet.clock.nowMs() - 1_000
        val trialsS = ArrayList<Long>()
        repeat(3 * 3_600) {
            if (fleet.send(a, host = it % 5)) {
                trialsS += (fleet.clock.nowMs() - blockedMs) / 1_000
                fleet.crash(a, after = 0)
            }
            fleet.advance(1_000)
        }
        assertThat(trialsS).containsExactly(30L, 270L)
    }

    @Example
    fun `after ten minutes without a request there is one trial, and one crash keeps the block`() {
        repeat(3) { fleet.crash(a) }
        repeat(400) {
            fleet.send(a, host = 1)
            fleet.advance(1_000)
        }
        repeat(2) {
            fleet.advance(610_000)
            assertThat(fleet.send(a, host = 2)).isTrue()
            assertThat(fleet.send(a, host = 3)).isFalse()
            fleet.crash(a, host = 2)
            repeat(900) {
                assertThat(fleet.send(a, host = 3)).isFalse()
                fleet.advance(1_000)
            }
        }
    }

    @Example
    fun `a mended part is cleared on all hosts by the first event of its trial`() {
        repeat(3) { fleet.crash(a) }
        fleet.advance(30_000)
        assertThat(fleet.verdict(a, host = 3)).isEqualTo(PartVerdict.TrialDue(PromptPartId(a)))
        assertThat(fleet.send(a, host = 3)).isTrue()
        assertThat(fleet.send(a, host = 4)).isFalse()
        fleet.advance(200)
        fleet.begin(a, host = 3)
        fleet.registries.indices.forEach { assertThat(isBlocked(a, it)).isFalse() }
        assertThat(fleet.ownerRegistry.blockedCount).isEqualTo(0)
    }

    @Example
    fun `a request with two blocked parts is let through only if both have a trial`() {
        repeat(3) { fleet.crash(a) }
        fleet.advance(20_000)
        repeat(3) { fleet.crash(b) }
        fleet.advance(9_000)
        assertThat(fleet.verdict(a, b)).isEqualTo(PartVerdict.Blocked(PromptPartId(b)))
        assertThat(fleet.ownerRegistry.tryTrial(fleet.service, ids(listOf(a, b)))).isFalse()
        assertThat(fleet.verdict(a)).isEqualTo(PartVerdict.TrialDue(PromptPartId(a)))
        fleet.advance(30_000)
        assertThat(fleet.send(a, b)).isTrue()
        assertThat(fleet.verdict(a)).isEqualTo(PartVerdict.Blocked(PromptPartId(a)))
    }

    @Example
    fun `an owner that changes in mid-count keeps the count`() {
        repeat(2) { fleet.crash(a, host = it + 1) }
        fleet.changeOwner(4)
        fleet.crash(a, host = 1)
        fleet.registries.indices.forEach { assertThat(isBlocked(a, it), "host $it").isTrue() }
    }

    @Example
    fun `a new owner with an empty memory adopts the block and its trials`() {
        repeat(3) { fleet.crash(a, host = it) }
        fleet.advance(30_000)
        assertThat(fleet.send(a)).isTrue()
        fleet.advance(2_000)
        fleet.registries[3] = CrashingPartRegistry(fleet.clock, log)
        fleet.changeOwner(null)
        fleet.registries.indices.filter { it != 3 }
            .forEach { assertThat(isBlocked(a, it), "host $it").isTrue() }
        fleet.changeOwner(3)
        fleet.registries.indices.forEach { assertThat(isBlocked(a, it), "host $it").isTrue() }
        assertThat(fleet.ownerRegistry.records().first { it.part.value == a }.trials).isEqualTo(1)
        fleet.advance(200_000)
        assertThat(fleet.send(a)).isFalse()
        fleet.advance(40_000)
        assertThat(fleet.send(a)).isTrue()
        assertThat(fleet.send(a)).isFalse()
    }

    @Example
    fun `hosts keep the block for ten seconds while a new owner does not know it`() {
        repeat(3) { fleet.crash(a) }
        val host = fleet.registries[1]
        repeat(9) {
            host.confirm(emptyList(), CrashingPartFleet.hostId(2))
            assertThat(isBlocked(a, host = 1)).isTrue()
            assertThat(host.records().single().part.value).isEqualTo(a)
            fleet.clock.advance(1_000)
        }
        fleet.clock.advance(1_000)
        host.confirm(emptyList(), CrashingPartFleet.hostId(2))
        assertThat(isBlocked(a, host = 1)).isFalse()
    }

    @Example
    fun `a new owner ignores records from before a first event that it saw`() {
        repeat(3) { fleet.crash(a) }
        val records = fleet.ownerRegistry.records()
        val registry = CrashingPartRegistry(fleet.clock, log)
        registry.recordBegun(fleet.service, fleet.version, ids(listOf(a)))
        registry.adopt(records, hostOne)
        assertThat(registry.blockedCount).isEqualTo(0)
    }

    @Example
    fun `hosts without a responsive owner decide by themselves`() {
        fleet.crash(a, host = 1)
        repeat(3) { fleet.crash(d) }
        fleet.owner = null
        fleet.advance(1_000)
        fleet.crash(a, host = 1)
        fleet.crash(a, host = 1)
        assertThat(isBlocked(a, host = 1)).isFalse()
        fleet.advance(2_000)
        assertThat(isBlocked(a, host = 1)).isTrue()
        assertThat(isBlocked(d, host = 1)).isTrue()
        assertThat(isBlocked(a, host = 2)).isTrue()
        fleet.advance(60_000)
        assertThat(fleet.verdict(a, host = 1)).isEqualTo(PartVerdict.Blocked(PromptPartId(a)))
        fleet.owner = 0
        fleet.advance(2_000)
        fleet.registries.indices.forEach { assertThat(isBlocked(a, it), "host $it").isTrue() }
    }

    @Example
    fun `a block ends a minute after the last server with its version of the software`() {
        val owner = fleet.ownerRegistry
        repeat(3) { fleet.crash(a) }
        owner.keepVersions(fleet.service, setOf("1", "2"))
        fleet.advance(120_000)
        owner.keepVersions(fleet.service, setOf("2"))
        fleet.advance(30_000)
        owner.keepVersions(fleet.service, setOf("1", "2"))
        owner.keepVersions(ServiceId("other"), setOf("2"))
        fleet.advance(90_000)
        owner.keepVersions(fleet.service, setOf("2"))
        assertThat(isBlocked(a)).isTrue()
        fleet.advance(60_000)
        owner.keepVersions(fleet.service, setOf("2"))
        fleet.advance(1_000)
        fleet.registries.indices.forEach { assertThat(isBlocked(a, it), "host $it").isFalse() }
    }

    @Example
    fun `memory is bounded, and parts in steady use stay known as begun`() {
        val registry = CrashingPartRegistry(fleet.clock, log)
        repeat(100_000) {
            registry.recordCrash(crashOf("crashed-$it"))
            registry.recordBegun(fleet.service, "1", ids(listOf(first, "begun-$it")))
            registry.takeUnreported()
            fleet.clock.advance(6)
        }
        assertThat(registry.size).isLessThanOrEqualTo(2_048)
        assertThat(registry.begunCount).isLessThanOrEqualTo(65_536)
        assertThat(registry.records().size).isLessThanOrEqualTo(64)
        assertThat(registry.takeUnreported().size).isLessThanOrEqualTo(256)
        repeat(4) {
            fleet.clock.advance(1_000)
            registry.recordCrash(crashOf(first))
        }
        assertThat(registry.blockedCount).isEqualTo(0)
    }

    @Example
    fun `prompts of 10 000 parts, of equal parts and of none are judged`() {
        val many = List(10_000) { "p$it" }
        val equal = List(100) { a }
        for (parts in listOf(many, equal, emptyList())) {
            fleet = CrashingPartFleet(ManualClock(100_000), hosts = 2)
            repeat(3) { fleet.crash(*parts.toTypedArray(), host = 1) }
            val isExpected = parts.isNotEmpty()
            assertThat(fleet.ownerRegistry.blockedCount).isEqualTo(if (isExpected) 1 else 0)
            assertThat(fleet.send(*parts.toTypedArray())).isEqualTo(!isExpected)
            fleet.begin(*parts.toTypedArray())
            assertThat(fleet.send(*parts.toTypedArray())).isTrue()
        }
    }

    @Example
    fun `records of hosts of another build are read without the fields that they lack`() {
        val record = Json.decodeFromString<SuspectPart>("""{"n":"answers","p":"a"}""")
        assertThat(record).isEqualTo(SuspectPart(fleet.service, part = PromptPartId(a)))
        repeat(3) { fleet.crash(a) }
        for (sent in fleet.ownerRegistry.records()) {
            assertThat(
                Json.decodeFromString<SuspectPart>(Json.encodeToString(sent))
            ).isEqualTo(sent)
        }
        val crash = crashOf(a)
        assertThat(Json.decodeFromString<PartCrash>(Json.encodeToString(crash))).isEqualTo(crash)
    }

    @Example
    fun `each change of a part is logged once`() {
        val changes = ArrayList<String>()
        val log = object : EventLog {
            override fun event(name: String, vararg fields: LogField) {
                changes += "$name ${fields.first { it.key == "change" }.value}"
            }
        }
        fleet = CrashingPartFleet(ManualClock(100_000), hosts = 1, log = log)
        repeat(5) { fleet.crash(a) }
        fleet.advance(30_000)
        fleet.send(a)
        fleet.begin(a)
        repeat(2) { fleet.crash(b) }
        fleet.advance(610_000)
        val expected = listOf("suspected", "blocked", "trial", "cleared", "suspected", "forgotten")
        assertThat(changes).isEqualTo(expected.map { "prompt-part $it" })
    }

    @Example
    fun `the records list blocked parts first and hide none of two suspects`() {
        fleet.crash(b)
        repeat(3) { fleet.crash(a) }
        val records = fleet.ownerRegistry.records()
        assertThat(records.map { it.part.value }).containsExactly(a, b)
        assertThat(records.map { it.crashes.size }).containsExactlyInAnyOrder(3, 1)
    }

    private fun begin(vararg parts: String, host: Int = 0) {
        fleet.begin(*parts, host = host)
        fleet.advance(100)
    }

    private fun isBlocked(part: String, host: Int = 0) =
        fleet.verdict(part, host = host) != PartVerdict.Allowed

    private fun crashOf(vararg parts: String, ageMs: Long = 0) =
        PartCrash(fleet.service, fleet.newServer(), fleet.version, ids(parts.toList()), ageMs)
}
