package org.hyssoprack.membership

import com.google.common.hash.HashFunction
import com.google.common.hash.Hashing
import java.util.concurrent.ConcurrentHashMap
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId

/**
 * [Ownership] by rendezvous hashing: the live host with the highest hash of host and server owns
 * the server. Hosts of the server's failure domain go first. Owners are kept until the set of live
 * hosts changes.
 */
class RendezvousOwnership : Ownership {
    private class Hosts(val byDomain: Map<FailureDomain, List<HostId>>) {
        val all = byDomain.values.flatten()
        val owners = ConcurrentHashMap<BackendServerId, HostId>()
    }

    private class Known(val view: MemberView, val hosts: Hosts)

    @Volatile
    private var known = Known(MemberView(emptyMap()), Hosts(emptyMap()))

    override fun owner(view: MemberView, server: BackendServerId, domain: FailureDomain): HostId? {
        val hosts = hostsOf(view)
        val near = hosts.byDomain[domain] ?: hosts.all
        if (near.isEmpty()) return null
        return hosts.owners.computeIfAbsent(server) { highest(near, it) }
    }

    private fun hostsOf(view: MemberView): Hosts {
        val last = known
        if (last.view === view || last.view.members === view.members) return last.hosts
        val byDomain = view.live().groupBy({ it.domain }, { it.ref.host })
            .mapValues { (_, hosts) -> hosts.sortedBy { it.value } }
        val hosts = if (byDomain == last.hosts.byDomain) last.hosts else Hosts(byDomain)
        known = Known(view, hosts)
        return hosts
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
