package org.hyssoprack.membership

import com.google.common.hash.HashFunction
import com.google.common.hash.Hashing
import java.util.concurrent.ConcurrentHashMap
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId

/**
 * [Ownership] by rendezvous hashing: the live host with the highest hash of host and server owns
 * the server. Hosts of the server's failure domain are preferred. Owners are cached until the live
 * hosts of that domain change.
 */
class RendezvousOwnership : Ownership {
    private class Candidates(val hosts: List<HostId>) {
        val owners = ConcurrentHashMap<BackendServerId, HostId>()
    }

    private class LiveHosts(
        val view: MemberView,
        val byDomain: Map<FailureDomain, Candidates>,
        val all: Candidates
    )

    @Volatile
    private var cached = LiveHosts(MemberView(emptyMap()), emptyMap(), Candidates(emptyList()))

    override fun owner(view: MemberView, server: BackendServerId, domain: FailureDomain): HostId? {
        val live = liveHosts(view)
        val near = live.byDomain[domain] ?: live.all
        if (near.hosts.isEmpty()) return null
        return near.owners.computeIfAbsent(server) { highest(near.hosts, it) }
    }

    private fun liveHosts(view: MemberView): LiveHosts {
        val last = cached
        if (last.view === view || last.view.members === view.members) return last
        val members = view.live()
        val byDomain = members.groupBy { it.domain }
            .mapValues { (domain, near) -> candidates(near, last.byDomain[domain]) }
        val live = LiveHosts(view = view, byDomain = byDomain, all = candidates(members, last.all))
        cached = live
        return live
    }

    private fun candidates(members: List<Member>, last: Candidates?): Candidates {
        val hosts = members.map { it.ref.host }.sortedBy { it.value }
        return if (hosts == last?.hosts) last else Candidates(hosts)
    }

    private fun highest(hosts: List<HostId>, server: BackendServerId): HostId =
        hosts.maxBy { score(it, server) }

    private fun score(host: HostId, server: BackendServerId): Long = HASH.newHasher()
        .putUnencodedChars(host.value)
        .putChar(SEPARATOR)
        .putUnencodedChars(server.value)
        .hash()
        .asLong()

    private companion object {
        val HASH: HashFunction = Hashing.murmur3_128()
        const val SEPARATOR = '\n'
    }
}
