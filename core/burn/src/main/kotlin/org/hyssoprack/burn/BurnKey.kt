package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.TierName

/** What requests are counted by. */
@Serializable
data class BurnKey(val tier: TierName, val account: ClientAccount) {
    /** The key that takes the counts of accounts without a place of their own. */
    internal fun ofOthers() = copy(account = OTHERS)

    companion object {
        /** Stands for all accounts that are not listed one by one; no account can have this name. */
        val OTHERS = ClientAccount("*")
    }
}
