package org.hyssoprack.host

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

class RetryCoordinatorTest {
    private val first = HostRef(HostId("h1"), Incarnation(10))
    private val second = HostRef(HostId("h2"), Incarnation(20))

    private class Case(
        val name: String,
        val origin: HostRef,
        val dispatched: Boolean = false,
        val lose: Int = 0,
        val expected: ResultCode?
    )

    private val cases = listOf(
        Case("the first host never received it", first, expected = null),
        Case("the first host dispatched it", first, true, expected = UNKNOWN),
        Case("two give-up messages are lost", first, lose = 2, expected = null),
        Case("every give-up message is lost", first, lose = 99, expected = UNKNOWN),
        Case(
            "the first host has restarted",
            HostRef(first.host, Incarnation(9)),
            expected = UNKNOWN
        ),
        Case("this host has restarted", HostRef(second.host, Incarnation(19)), expected = UNKNOWN),
        Case("this host received it first", second, expected = null)
    )

    @Example
    fun `a retry is taken over only if the first attempt cannot run`() = cases.forEach { case ->
        runBlocking { assertThat(takeOver(case), case.name).isEqualTo(case.expected) }
    }

    @Example
    fun `an answer to a former run of this host is not taken for one to this run`() = runBlocking {
        val registry = RequestRegistry(ManualClock()) { false }
        val dispatched = RequestId.of(first, "2")
        registry.begin(dispatched)
        val answers = ArrayList<RetryMessage>()
        val firstHost = RetryCoordinator(first, registry) { _, message ->
            answers += message as RetryMessage
        }
        lateinit var formerRun: RetryCoordinator
        formerRun = coordinator(second) { message ->
            launch {
                firstHost.receive(second, message)
                formerRun.receive(first, answers.last())
            }
        }
        assertThat(formerRun.takeOver(RequestId.of(first, "1")).isRight()).isTrue()
        val restarted = HostRef(second.host, Incarnation(second.incarnation.value + 1))
        lateinit var thisRun: RetryCoordinator
        thisRun = coordinator(restarted) { message ->
            launch {
                firstHost.receive(restarted, message)
                answers.forEach { thisRun.receive(first, it) }
            }
        }
        assertThat(thisRun.takeOver(dispatched).leftOrNull()?.code).isEqualTo(UNKNOWN)
    }

    private fun coordinator(self: HostRef, send: (RetryMessage) -> Unit) =
        RetryCoordinator(self, RequestRegistry(ManualClock()) { false }) { _, message ->
            send(message as RetryMessage)
        }

    private suspend fun CoroutineScope.takeOver(case: Case): ResultCode? {
        val id = RequestId.of(case.origin, "1")
        val registry = RequestRegistry(ManualClock(), giveUpWaiting = { false })
        if (case.dispatched) registry.begin(id)
        var lost = 0
        lateinit var firstHost: RetryCoordinator
        val secondHost =
            RetryCoordinator(
                second,
                registry = RequestRegistry(ManualClock()) {
                    false
                }
            ) { _, message ->
                if (lost++ >= case.lose) {
                    launch { firstHost.receive(second, message as RetryMessage) }
                }
            }
        firstHost = RetryCoordinator(first, registry) { _, message ->
            launch { secondHost.receive(first, message as RetryMessage) }
        }
        return secondHost.takeOver(id).leftOrNull()?.code
    }

    private companion object {
        val UNKNOWN = ResultCode.FIRST_ATTEMPT_UNKNOWN
    }
}
