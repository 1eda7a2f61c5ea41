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

/** Passes changes of the members on to the owner's scheduler and the bundle holder. */
class MembershipObserver(
    private val self: HostRef,
    private val membership: Membership,
    private val owner: OwnerTask,
    private val bundles: BundleHolder
) {
    private val known = HashMap<HostId, Member>()

    /** Starts the task in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        membership.view.collect(::follow)
    }

    private fun follow(view: MemberView) {
        view.members.values.filter { it.ref.host != self.host }.forEach(::followMember)
        (known.keys - view.members.keys).forEach { host ->
            known.remove(host)?.let { owner.hostGone(it.ref) }
        }
    }

    private fun followMember(member: Member) {
        val before = known.put(member.ref.host, member)
        if (member == before) return
        if (before != null && before.ref != member.ref) owner.hostGone(before.ref)
        if (member.bundle != before?.bundle) bundles.onPeerVersion(member.ref.host, member.bundle)
        if (member.state == before?.state && member.ref == before.ref) return
        if (member.state == MemberState.DEAD) owner.hostGone(member.ref)
    }
}
