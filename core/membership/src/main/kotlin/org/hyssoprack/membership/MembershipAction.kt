package org.hyssoprack.membership

import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/** What the owner of a [MemberTable] must do after one of its steps. */
sealed interface MembershipAction {
    /** Send [message] to a known host. */
    data class Send(val to: HostId, val message: MemberMessage) : MembershipAction

    /** Send [message] to the host at [address]. */
    data class SendTo(val address: NetworkAddress, val message: MemberMessage) : MembershipAction

    /** A host run, or its state, is new. */
    data class Changed(val ref: HostRef, val state: MemberState, val address: NetworkAddress) :
        MembershipAction

    /** A dead host run is not remembered any more. */
    data class Expired(val ref: HostRef, val domain: FailureDomain) : MembershipAction
}
