package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.HostId
import org.hyssoprack.serving.settings.Account

/**
 * A request's charge to its account's quota, made once however many servers the request is sent to.
 */
class QuotaCharge(val account: Account, val amount: Double) {
    /** Where the charge was made. */
    internal sealed interface ChargedBy {
        /** The slot owner, which keeps the ledger. */
        data class Owner(val host: HostId) : ChargedBy

        /** This host, without the ledger. */
        data object Local : ChargedBy
    }

    /** Null while nothing is charged. */
    internal var chargedBy: ChargedBy? = null
}
