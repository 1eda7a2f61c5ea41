package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.HostId
import org.hyssoprack.serving.settings.Account

/**
 * A request's charge to its account's quota, made once however many servers the request is sent to.
 */
class QuotaCharge(val account: Account, val amount: Double) {
    /** Host that made the charge. */
    internal sealed interface Payer {
        /** The slot owner, which keeps the ledger. */
        data class Owner(val host: HostId) : Payer

        /** This host, without the ledger. */
        data object Local : Payer
    }

    /** Null while nothing is charged. */
    internal var payer: Payer? = null
}
