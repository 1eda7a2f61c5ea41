package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.TierName

/** Key by which requests are counted. */
@Serializable
data class BurnKey(val tier: TierName, val account: ClientAccount) {
    /** Returns the key that aggregates the counts of accounts that are not kept individually. */
    internal fun toOthers() = copy(account = OTHERS)

    companion object {
        /**
         * Stands for all accounts that are not listed individually; no account can have this name.
         */
        val OTHERS = ClientAccount("*")
    }
}
