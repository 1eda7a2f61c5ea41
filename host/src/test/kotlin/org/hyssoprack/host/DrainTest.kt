package org.hyssoprack.host

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.membership.MemberMessage
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.Membership

class DrainTest {
    private val clock = ManualClock()
    private val membership = CountingMembership()
    private val drain = Drain(membership, clock, NoOpEventLog, addressTtlMs = TTL_MS)

    @Example
    fun `a host takes calls until its address has expired`() {
        assertThat(drain.isClosed).isEqualTo(false)
        drain.begin()
        assertThat(drain.isDraining).isEqualTo(true)
        assertThat(drain.isClosed).isEqualTo(false)
        clock.advance(TTL_MS)
        assertThat(drain.isClosed).isEqualTo(true)
    }

    @Example
    fun `a second stop signal neither hastens nor delays the end`() {
        drain.begin()
        clock.advance(TTL_MS - 1)
        drain.begin()
        assertThat(drain.isClosed).isEqualTo(false)
        clock.advance(1)
        assertThat(drain.isClosed).isEqualTo(true)
        assertThat(membership.leaves).isEqualTo(1)
    }

    @Example
    fun `the end waits for calls in progress`() = runBlocking {
        val answer = CompletableDeferred<Unit>()
        val call = launch { drain.call { answer.await() } }
        yield()
        drain.begin()
        clock.advance(TTL_MS)
        val end = launch { drain.awaitIdle() }
        yield()
        assertThat(end.isCompleted).isEqualTo(false)
        answer.complete(Unit)
        call.join()
        end.join()
    }

    private class CountingMembership : Membership {
        var leaves = 0
        override val view: StateFlow<MemberView> = MutableStateFlow(MemberView(emptyMap()))

        override fun receive(from: HostRef, message: MemberMessage) = Unit

        override fun announce(load: Int, bundle: BundleVersion) = Unit

        override fun leave() {
            leaves++
        }
    }

    private companion object {
        const val TTL_MS = 3_000L
    }
}
