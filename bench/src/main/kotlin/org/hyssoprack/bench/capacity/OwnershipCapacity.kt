package org.hyssoprack.bench.capacity

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.RendezvousOwnership

/** Measures the CPU cost of computing the owners of all backend servers on one host. */
internal class OwnershipCapacity {
    private val servers = (0 until SERVERS).map { BackendServerId("backend-server-$it") }

    fun measure(): CapacityReport {
        repeat(WARM_UP_RUNS) { assignUs(WARM_UP_HOSTS) }
        val first = HOSTS.map { Point(it.toDouble(), assignUs(it)) }
        val figures = listOf(
            Figure("owners of $SERVERS servers, same live hosts", "CPU us", cachedUs()),
            Figure("owners of $SERVERS servers, one host lost", "CPU us", lostUs { it == 0 }),
            Figure(
                "owners of $SERVERS servers, one domain lost",
                "CPU us",
                lostUs {
                    it % DOMAINS ==
                        0
                }
            )
        )
        val slope =
            Slope.of("owners of $SERVERS servers, none known", "members", "CPU us", first)
        return CapacityReport(listOf(slope), figures)
    }

    private fun assignUs(hosts: Int): Double {
        val ownership = RendezvousOwnership()
        return timedUs { assign(ownership, view(hosts)) }
    }

    private fun cachedUs(): Double {
        val ownership = RendezvousOwnership()
        assign(ownership, view(LARGEST))
        val other = view(LARGEST)
        return timedUs { assign(ownership, other) }
    }

    private fun lostUs(isLost: (Int) -> Boolean): Double {
        val ownership = RendezvousOwnership()
        val members = members(LARGEST)
        assign(ownership, viewOf(members))
        val view = viewOf(
            members.mapIndexed { index, member ->
                if (isLost(index)) member.copy(state = MemberState.DEAD) else member
            }
        )
        return timedUs { assign(ownership, view) }
    }

    private fun assign(ownership: RendezvousOwnership, view: MemberView) {
        servers.forEachIndexed { index, server ->
            checkNotNull(ownership.owner(view, server, domain(index)))
        }
    }

    private fun timedUs(work: () -> Unit): Double {
        val startNanos = Meter.threadCpuNanos()
        work()
        return (Meter.threadCpuNanos() - startNanos) / NANOS_PER_US
    }

    private fun view(hosts: Int) = viewOf(members(hosts))

    private fun members(hosts: Int): List<Member> =
        (0 until hosts).map { MemberSimulation.member(it, incarnation = 1) }

    private fun viewOf(members: List<Member>) = MemberView(members.associateBy { it.ref.host })

    private fun domain(index: Int) = FailureDomain("domain-${index % DOMAINS}")

    private companion object {
        const val SERVERS = 10_000
        const val DOMAINS = 10
        const val WARM_UP_HOSTS = 100
        const val WARM_UP_RUNS = 5
        const val LARGEST = 1_200
        val HOSTS = listOf(100, 300, 600, 1_200)
        const val NANOS_PER_US = 1_000.0
    }
}
