package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.HostId
import org.hyssoprack.serving.settings.Account

/** What one request takes of its account's quota, once, however many servers it is sent to. */
class QuotaCharge(val account: Account, val amount: Double) {
    /** Who has charged it. */
    internal sealed interface Payer {
        /** The owner of the slots, which keeps the ledger. */
        data class Owner(val host: HostId) : Payer

        /** This host by itself. */
        data object Alone : Payer
    }

    /** Null while nothing is charged. */
    internal var payer: Payer? = null
}
