package org.hyssoprack.settings

import arrow.core.Either
import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.containsExactly
import assertk.assertions.isEqualTo
import assertk.assertions.isNotNull
import assertk.assertions.isNull
import kotlin.random.Random
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.OperatorName
import org.hyssoprack.common.ResultCode

class BundleServiceTest {
    private val ann = OperatorName("ann")
    private val bob = OperatorName("bob")
    private val table = FakeTable()
    private val objects = FakeObjects()
    private var reachable = 1.0
    private val service = service(table)

    @Example
    fun `a bundle is proposed, signed off by another operator, accepted and listed`() =
        runBlocking {
            val first = accepted(number = 1, base = 0)
            val second = accepted(number = 2, base = 1)
            val history = service.history().getOrNull()!!
            assertThat(history.map { it.version.value }).containsExactly(2L, 1L)
            assertThat(history.map { it.hash }).containsExactly(second, first)
            assertThat(service.show(first).getOrNull()).isEqualTo(TestBundles.json(1))
        }

    @Example
    fun `every step may be repeated`() = runBlocking {
        repeat(2) { assertThat(service.propose(ann, TestBundles.json(1)).getOrNull()).isNotNull() }
        val hash = TestBundles.hash(1)
        repeat(2) { assertThat(service.signOff(bob, hash).getOrNull()).isEqualTo(Unit) }
        repeat(2) { assertThat(accept(bob, hash, 0).getOrNull()).isEqualTo(BundleVersion(1)) }
        accepted(number = 2, base = 1)
        assertThat(accept(bob, hash, 0).getOrNull()).isEqualTo(BundleVersion(1))
        assertThat(service.history().getOrNull()!!.size).isEqualTo(2)
    }

    @Example
    fun `invalid operations fail with their code`() = runBlocking {
        val hash = service.propose(ann, TestBundles.json(1)).getOrNull()!!
        val unknown = ContentHash.of("nothing")
        assertThat(code(accept(bob, hash, 0))).isEqualTo(ResultCode.SIGN_OFF_MISSING)
        assertThat(code(service.signOff(ann, hash))).isEqualTo(ResultCode.SIGN_OFF_SELF)
        assertThat(code(service.signOff(bob, unknown))).isEqualTo(ResultCode.BUNDLE_UNKNOWN)
        assertThat(code(accept(bob, unknown, 0))).isEqualTo(ResultCode.BUNDLE_UNKNOWN)
        assertThat(code(service.show(unknown))).isEqualTo(ResultCode.BUNDLE_UNKNOWN)
        val invalid = service.propose(ann, "{}")
        assertThat(code(invalid)).isEqualTo(ResultCode.SETTINGS_INVALID)
        service.signOff(bob, hash)
        assertThat(code(accept(bob, hash, 7))).isEqualTo(ResultCode.BUNDLE_CONFLICT)
        reachable = 0.4
        assertThat(code(accept(bob, hash, 0))).isEqualTo(ResultCode.HOST_ISOLATED)
        assertThat(service.history().getOrNull()).isEqualTo(emptyList())
    }

    @Example
    fun `of two operators at once one gets a conflict that names the winner`() = runBlocking {
        val hashes = (1..2).map { proposed(it) }
        val results = hashes.zip(listOf(ann, bob)).map { (hash, operator) ->
            async { accept(operator, hash, 0) }
        }.awaitAll()
        assertThat(results.mapNotNull { it.getOrNull() }).containsExactly(BundleVersion(1))
        val loser = results.mapNotNull { it.leftOrNull() }.single()
        assertThat(loser.code).isEqualTo(ResultCode.BUNDLE_CONFLICT)
        assertThat(loser.detail).contains(service.history().getOrNull()!!.single().hash.value)
    }

    @Example
    fun `a change that was replaced before its lost reply was resolved is in the history`() =
        runBlocking {
            val first = proposed(1)
            val second = proposed(2)
            val service = service(table) {
                accept(ann, second, base = 1)
                table.failsReads = true
            }
            table.repliesToLose = 1
            val unsettled = service.accept(bob, first, BundleVersion.NONE)
            assertThat(code(unsettled)).isEqualTo(ResultCode.OUTCOME_UNDECIDED)
            table.failsReads = false
            assertThat(accept(bob, first, 0).getOrNull()).isEqualTo(BundleVersion(1))
            assertThat(
                service.history().getOrNull()!!.map {
                    it.hash
                }
            ).containsExactly(second, first)
        }

    @Property(tries = 1_000)
    fun `the results returned to operators match the history whatever calls fail`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 0, max = 60) faultPercent: Int
    ) = acceptUnderFaults(seed, faultPercent)

    @Example
    fun `a late write of an operator's own earlier attempt is no conflict`() =
        acceptUnderFaults(seed = 2_749, faultPercent = 31)

    private fun acceptUnderFaults(seed: Long, faultPercent: Int) = runBlocking {
        val random = Random(seed)
        val table = FakeTable(random)
        val service = service(table)
        val calls = (1..4).map { number ->
            val operator = if (number % 2 == 0) ann else bob
            proposed(number, service)
            Call(operator = operator, hash = TestBundles.hash(number))
        }
        table.faultPercent = faultPercent
        calls.map { call -> async { acceptUntilDecided(service, call, random) } }.awaitAll()
        table.faultPercent = 0
        table.applyLate()
        val history = service.history().getOrNull()!!
        val versions = history.map { it.version.value }.reversed()
        assertThat(versions).isEqualTo(versions.indices.map { it + 1L })
        for (call in calls) check(call, history)
    }

    private class Call(val operator: OperatorName, val hash: ContentHash) {
        var base = 0L
        val results = mutableListOf<Either<Failure, BundleVersion>>()
    }

    /** Accepts with a fixed base and retries while the outcome is undecided. */
    private suspend fun acceptUntilDecided(service: BundleService, call: Call, random: Random) {
        repeat(random.nextInt(5)) { yield() }
        call.base = service.history().getOrNull()?.firstOrNull()?.version?.value ?: 0
        repeat(4) {
            val result = service.accept(call.operator, call.hash, BundleVersion(call.base))
            call.results += result
            if (code(result) != ResultCode.OUTCOME_UNDECIDED) return
        }
    }

    private fun check(call: Call, history: List<AcceptedBundle>) {
        val taken = history.firstOrNull { it.hash == call.hash && it.acceptedBy == call.operator }
        val last = call.results.last()
        val wasUndecided = call.results.any { code(it) == ResultCode.OUTCOME_UNDECIDED }
        when {
            last is Either.Right -> assertThat(taken?.version).isEqualTo(last.value)

            // A conflict decides earlier attempts, too; any other code describes its own attempt
            // only.
            code(last) == ResultCode.BUNDLE_CONFLICT || !wasUndecided ->
                assertThat(taken, last.toString()).isNull()
        }
    }

    private fun service(table: FakeTable, pause: suspend (Long) -> Unit = { yield() }) =
        DefaultBundleService(
            table = table,
            objects = objects,
            log = NoOpEventLog,
            peersReachable = { reachable },
            pause = pause
        )

    private suspend fun proposed(number: Int, on: BundleService = service): ContentHash {
        val hash = on.propose(OperatorName("carl"), TestBundles.json(number)).getOrNull()!!
        on.signOff(OperatorName("dora"), hash)
        return hash
    }

    private suspend fun accepted(number: Int, base: Long): ContentHash {
        val hash = proposed(number)
        assertThat(accept(bob, hash, base).getOrNull()).isEqualTo(BundleVersion(base + 1))
        return hash
    }

    private suspend fun accept(operator: OperatorName, hash: ContentHash, base: Long) =
        service.accept(operator, hash, BundleVersion(base))

    private fun code(result: Either<Failure, *>): ResultCode? = result.leftOrNull()?.code
}
