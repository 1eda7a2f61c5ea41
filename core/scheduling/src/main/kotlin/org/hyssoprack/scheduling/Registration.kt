package org.hyssoprack.scheduling

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/** A waiting request in an owner's queue. Times are on the owner's clock. */
internal class Registration(
    val requestId: RequestId,
    val holder: HostRef,
    val tier: TierRank,
    val account: ClientAccount,
    val share: Int,
    val long: Boolean,
    val resuming: Boolean,
    val arrivedAtMs: Long
) {
    var askedAtMs = 0L
    var latestDispatchAtMs = 0L
    var lapsesAtMs = 0L
    var urgent = false
}
