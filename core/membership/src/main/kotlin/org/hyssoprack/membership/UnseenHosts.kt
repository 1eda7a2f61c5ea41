package org.hyssoprack.membership

import org.hyssoprack.common.HostId
import org.hyssoprack.common.NetworkAddress

/** Counts the seeds at whose address no member is listed, anew only after a change. */
internal class UnseenHosts {
    private var countedMembers: Map<HostId, Member>? = null
    private var countedSeeds = 0
    private var count = 0

    /** Returns the number of [seeds] that belong to none of [members]; seeds are never removed. */
    fun count(members: Map<HostId, Member>, seeds: Set<NetworkAddress>): Int {
        if (members === countedMembers && seeds.size == countedSeeds) return count
        countedMembers = members
        countedSeeds = seeds.size
        val known = members.values.mapTo(HashSet()) { it.linkAddress }
        count = seeds.count { it !in known }
        return count
    }
}
