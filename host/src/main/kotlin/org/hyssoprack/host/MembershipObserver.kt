package org.hyssoprack.host

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.Membership
import org.hyssoprack.settings.BundleHolder

/** Notifies the owner's scheduler and the bundle holder of membership changes. */
class MembershipObserver(
    private val self: HostRef,
    private val membership: Membership,
    private val owner: OwnerTask,
    private val bundles: BundleHolder
) {
    private val lastSeen = HashMap<HostId, Member>()

    /** Starts the task in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        membership.view.collect(::updateMembers)
    }

    private fun updateMembers(view: MemberView) {
        view.members.values.filter { it.ref.host != self.host }.forEach(::updateMember)
        (lastSeen.keys - view.members.keys).forEach { host ->
            lastSeen.remove(host)?.let { owner.hostGone(it.ref) }
        }
    }

    private fun updateMember(member: Member) {
        val previous = lastSeen.put(member.ref.host, member)
        if (member == previous) return
        if (previous != null && previous.ref != member.ref) owner.hostGone(previous.ref)
        if (member.bundle != previous?.bundle) bundles.onPeerVersion(member.ref.host, member.bundle)
        if (member.state == previous?.state && member.ref == previous.ref) return
        if (member.state == MemberState.DEAD) owner.hostGone(member.ref)
    }
}
