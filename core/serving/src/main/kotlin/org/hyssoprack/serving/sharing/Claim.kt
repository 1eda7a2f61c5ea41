package org.hyssoprack.serving.sharing

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain

/**
 * What a request for a slot claims of the capacity of its service.
 *
 * @property account null for requests without an account, which share as one account.
 * @property domain failure domain of the host that received the request; null if unknown.
 * @property slotMs expected time for which the request holds a slot, in milliseconds; positive.
 */
interface Claim {
    val rank: Int
    val account: ClientAccount?
    val domain: FailureDomain?
    val slotMs: Double
}
