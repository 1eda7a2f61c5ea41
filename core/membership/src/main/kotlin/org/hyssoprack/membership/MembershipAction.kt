package org.hyssoprack.membership

import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/** Actions that a [MemberTable] returns for its owner to execute. */
sealed interface MembershipAction {
    /** Send [message] to a known host. */
    data class Send(val to: HostId, val message: MemberMessage) : MembershipAction

    /** Send [message] to the host at [address]. */
    data class SendTo(val address: NetworkAddress, val message: MemberMessage) : MembershipAction

    /** The list has a new host run, or the state of a run has changed. */
    data class Changed(val ref: HostRef, val state: MemberState, val address: NetworkAddress) :
        MembershipAction

    /** A dead host run was removed from the list after its retention time. */
    data class Expired(val ref: HostRef, val domain: FailureDomain) : MembershipAction
}
