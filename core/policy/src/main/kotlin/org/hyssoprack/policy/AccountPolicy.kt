package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount

/** Policy of a client account. [share] is its weight among the accounts of the same tier. */
data class AccountPolicy(val account: ClientAccount, val share: Int = 1)
