package org.hyssoprack.gateway.forwarding.ratelimit

import kotlin.random.Random
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.slots.SlotMessage
import org.hyssoprack.link.Link
import org.hyssoprack.link.ReceivedMessage
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.serving.settings.Account

/**
 * Hosts that share slots over a simulated network, in virtual time.
 *
 * @param newsMs longest time that a host takes to learn of a change of the members.
 * @param accounts client accounts with a quota.
 * @param transform changes a message in transit; null loses it.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal abstract class SimulatedFleet(
    protected val random: Random,
    hostCount: Int,
    private val newsMs: Long = 0,
    accounts: List<Account> = emptyList(),
    private val transform: (SlotMessage) -> SlotMessage? = { it }
) {
    private val scheduler = TestCoroutineScheduler()
    private var fault: Throwable? = null
    protected val scope = CoroutineScope(
        StandardTestDispatcher(scheduler) + SupervisorJob() +
            CoroutineExceptionHandler { _, e -> fault = e }
    )
    protected val service = ServiceId("s")
    private val views = ArrayList<DatedView>()
    val clock = SimulatedTime(scheduler)
    val hosts: List<SimulatedHost>

    init {
        val refs = List(hostCount) { HostRef(HostId("h$it"), Incarnation(1)) }
        views += DatedView(clock.nowMs(), MemberView(refs.associate { it.host to member(it) }))
        hosts = refs.map {
            val delayMs = random.nextLong(newsMs + 1)
            SimulatedHost(
                ref = it,
                clock = SimulatedTime(scheduler, random.nextLong(-WALL_CLOCK_MS, WALL_CLOCK_MS)),
                link = SimulatedLink(it),
                random = random,
                accounts = accounts,
                view = { view(delayMs) }
            )
        }
        hosts.forEach { host ->
            repeatEvery(SLOTS_TICK_MS) { host.tickSlots() }
            repeatEvery(QUEUE_TICK_MS) { host.pools.tick() }
        }
    }

    /** Returns the time that a message between two hosts takes. */
    protected open fun delayMs(from: HostRef, to: HostId): Long = MESSAGE_MS

    /** The slot owner in the view of most hosts. */
    fun owner(): SimulatedHost = hosts.firstOrNull { it.slots.isOwner } ?: hosts.first()

    /** Lets [ms] milliseconds pass. */
    fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        fault?.let { throw it }
    }

    fun end() = scope.cancel()

    fun setState(host: SimulatedHost, state: MemberState) {
        val members = views.last().view.members
        val changed = members.getValue(host.ref.host).copy(state = state)
        views += DatedView(clock.nowMs(), MemberView(members + (host.ref.host to changed)))
    }

    private fun view(delayMs: Long): MemberView {
        val seenMs = clock.nowMs() - delayMs
        return (views.lastOrNull { it.sinceMs <= seenMs } ?: views.first()).view
    }

    private class DatedView(val sinceMs: Long, val view: MemberView)

    private fun repeatEvery(periodMs: Long, action: () -> Unit) = scope.launch {
        delay(random.nextLong(periodMs))
        while (true) {
            action()
            delay(periodMs)
        }
    }

    private inner class SimulatedLink(private val self: HostRef) : Link {
        override val incoming = Channel<ReceivedMessage>()

        override fun send(to: HostId, message: HostMessage) {
            val sent = transform(message as SlotMessage) ?: return
            val target = hosts.first { it.ref.host == to }
            val source = hosts.first { it.ref == self }
            scope.launch {
                delay(delayMs(self, to))
                if (!target.isCutOff && !source.isCutOff) target.slots.receive(self, sent)
            }
        }

        override fun sendTo(address: NetworkAddress, message: HostMessage) = Unit

        override fun setAddress(host: HostId, address: NetworkAddress) = Unit

        override suspend fun close() = Unit
    }

    private fun member(ref: HostRef) = Member(
        ref = ref,
        linkAddress = NetworkAddress("10.0.0.1", 1),
        callerAddress = NetworkAddress("10.0.0.1", 2),
        domain = FailureDomain("z"),
        region = Region("r"),
        capacity = 100
    )

    protected companion object {
        const val MESSAGE_MS = 1L
        private const val SLOTS_TICK_MS = 150L
        private const val QUEUE_TICK_MS = 20L
        private const val WALL_CLOCK_MS = 50L
    }
}
