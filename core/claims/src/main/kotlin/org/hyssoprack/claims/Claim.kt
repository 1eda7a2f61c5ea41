package org.hyssoprack.claims

import org.hyssoprack.common.HostRef

/**
 * A claim that this attempt holds.
 *
 * @property revision the row's revision in the table service.
 * @property bodyHash hash of the call's body, as given when it was claimed.
 */
data class Claim(
    val key: ClaimKey,
    val attemptId: String,
    val revision: Long,
    val holder: HostRef,
    val bodyHash: String
)
