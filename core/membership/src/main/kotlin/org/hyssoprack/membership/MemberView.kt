package org.hyssoprack.membership

import org.hyssoprack.common.HostId

/**
 * Snapshot of the membership list of one host, including the host itself.
 *
 * @property reachableShare share of the listed peers that answered recent probes, from 0 to 1.
 * @property unseenHosts number of hosts in the directory or the settings that are not listed, as
 *   nothing was heard of them yet.
 */
data class MemberView(
    val members: Map<HostId, Member>,
    val reachableShare: Double = 1.0,
    val unseenHosts: Int = 0
) {
    /** Members that may own backend servers and accept requests: alive or suspected. */
    fun live(): List<Member> = members.values.filter {
        it.state == MemberState.ALIVE || it.state == MemberState.SUSPECT
    }
}
