package org.hyssoprack.membership

import org.hyssoprack.common.HostId

/**
 * What one host knows of the members, itself included.
 *
 * @property reachableShare share, from 0 to 1, of the known peers that answered probes lately.
 */
data class MemberView(val members: Map<HostId, Member>, val reachableShare: Double = 1.0) {
    /** Members that may own backend servers and take requests. */
    fun live(): List<Member> = members.values.filter {
        it.state == MemberState.ALIVE || it.state == MemberState.SUSPECT
    }
}
