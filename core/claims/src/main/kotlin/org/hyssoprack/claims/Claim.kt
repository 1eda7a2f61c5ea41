package org.hyssoprack.claims

import org.hyssoprack.common.HostRef

/**
 * A granted claim of a call.
 *
 * @property revision the row's revision in the table service.
 * @property bodyHash hash of the call's body, as passed to [ClaimService.claim].
 */
data class Claim(
    val key: ClaimKey,
    val attemptId: String,
    val revision: Long,
    val holder: HostRef,
    val bodyHash: String
)
