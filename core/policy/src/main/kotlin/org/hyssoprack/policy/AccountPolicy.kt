package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount

/** What the policy says of a client account. [share] weighs it against others of the same tier. */
data class AccountPolicy(val account: ClientAccount, val share: Int = 1)
