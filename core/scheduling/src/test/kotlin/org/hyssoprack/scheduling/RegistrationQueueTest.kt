package org.hyssoprack.scheduling

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isNull
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.QueueRule

class RegistrationQueueTest {
    private val host = HostRef(HostId("h"), Incarnation(1))

    private data class Case(
        val account: String,
        val tier: Int = 0,
        val count: Int = 1,
        val slackMs: Long = 1_000,
        val waitedMs: Long = 0,
        val share: Int = 1,
        val long: Boolean = false,
        val resuming: String? = null
    )

    private fun queue(rule: QueueRule, vararg cases: Case): RegistrationQueue {
        val queue = RegistrationQueue(rule)
        cases.forEach { put(queue, it) }
        return queue
    }

    private fun put(queue: RegistrationQueue, case: Case) {
        val message = SlotMessage.Ask(
            server = BackendServerId("s"),
            tier = TierRank(case.tier),
            account = ClientAccount(case.account),
            share = case.share,
            long = case.long,
            count = case.count,
            urgent = 0,
            slackMs = case.slackMs,
            waitedMs = case.waitedMs,
            sentAtMs = 0,
            resuming = case.resuming?.let { RequestId(it) }
        )
        val key = RegistrationKey(
            holder = host,
            tier = message.tier,
            account = message.account,
            long = message.long,
            resuming = message.resuming
        )
        queue.registration(key, message.share).update(NOW_MS, message, TERM_MS)
    }

    private fun drain(queue: RegistrationQueue, most: Int, costMs: Double = 1.0): List<String> =
        generateSequence { queue.next { true }?.also { queue.served(it, costMs) } }
            .take(most)
            .map { it.key.account.value }
            .toList()

    @Example
    fun `requests are served in the order of the queue rule`() {
        val tiered = QueueRule.TIERED
        val cases = listOf(
            queue(tiered, Case("b", tier = 1), Case("a")) to listOf("a", "b"),
            queue(tiered, Case("a"), Case("b", resuming = "r")) to listOf("b", "a"),
            queue(tiered, Case("a", tier = 0), Case("b", tier = 1, resuming = "r")) to
                listOf("a", "b"),
            queue(tiered, Case("a", count = 3), Case("b")) to listOf("a", "b", "a", "a"),
            queue(QueueRule.ARRIVAL, Case("a"), Case("b", tier = 2, waitedMs = 50)) to
                listOf("b", "a")
        )
        cases.forEach { (queue, expected) -> assertThat(drain(queue, 9)).isEqualTo(expected) }
    }

    @Example
    fun `accounts get slots by their shares whatever the length of their queues`() {
        val cases = listOf(
            Case("a", count = 1_000) to Case("b", count = 100),
            Case("a", count = 1_000, share = 1) to Case("b", count = 1_000, share = 3)
        )
        cases.forEach { (a, b) ->
            val served = drain(queue(QueueRule.TIERED, a, b), 100).count { it == "b" }
            val fair = 100 * b.share / (a.share + b.share)
            assertThat(served).isBetween(fair - 1, fair + 1)
        }
    }

    @Example
    fun `long requests of an account are charged for the time that they hold a slot`() {
        val queue = queue(
            QueueRule.TIERED,
            Case("a", count = 100, long = true),
            Case("a", count = 1_000)
        )
        val served = generateSequence {
            queue.next { true }?.also { queue.served(it, if (it.long) 10.0 else 1.0) }
        }.take(110).toList()
        assertThat(served.count { it.long }).isBetween(9, 11)
    }

    @Example
    fun `a registration that has lapsed or been removed is not served`() {
        val queue = queue(QueueRule.TIERED, Case("a"))
        queue.removeEnded(NOW_MS + TERM_MS)
        assertThat(queue.next { true }).isNull()
        put(queue, Case("a"))
        queue.removeAllOf(host)
        assertThat(queue.next { true }).isNull()
    }

    @Example
    fun `waiting requests are counted by tier`() {
        val queue = queue(QueueRule.TIERED, Case("a", count = 2), Case("b", tier = 2, count = 3))
        assertThat(queue.countByTier()).containsExactly(2, 0, 3)
    }

    private companion object {
        const val NOW_MS = 1_000L
        const val TERM_MS = 1_500L
    }
}
