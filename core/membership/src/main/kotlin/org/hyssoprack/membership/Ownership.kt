package org.hyssoprack.membership

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId

/** Decides which host owns a backend server. */
interface Ownership {
    /** The owner among the live members of [view], near [domain] if possible; null if none is live. */
    fun owner(view: MemberView, server: BackendServerId, domain: FailureDomain): HostId?
}
