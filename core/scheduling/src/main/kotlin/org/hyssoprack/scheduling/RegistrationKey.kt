package org.hyssoprack.scheduling

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/** Identifies a registration in an owner's queue. */
internal data class RegistrationKey(
    val holder: HostRef,
    val tier: TierRank,
    val account: ClientAccount,
    val long: Boolean,
    val resuming: RequestId?
)
