package org.hyssoprack.membership

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId

/** Determines which host owns a backend server. */
interface Ownership {
    /**
     * Returns the owner among the live members of [view], in [domain] if possible; null if none.
     */
    fun owner(view: MemberView, server: BackendServerId, domain: FailureDomain): HostId?
}
