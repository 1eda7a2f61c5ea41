package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.TierName

/** One client account in the report; `*` aggregates all accounts that are not listed. */
@Serializable
data class AccountRow(val tier: TierName, val account: ClientAccount, val burn: WindowBurn)
