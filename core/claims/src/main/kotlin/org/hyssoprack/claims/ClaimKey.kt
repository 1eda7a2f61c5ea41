package org.hyssoprack.claims

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.IdempotencyKey

/** Identifies a call that may not be repeated. */
data class ClaimKey(val account: ClientAccount, val key: IdempotencyKey)
