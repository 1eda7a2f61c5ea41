package org.hyssoprack.settings

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash
import org.hyssoprack.policy.CompiledPolicy

/** A bundle that passed all validation, with its compiled policy. */
data class CompiledBundle(
    val bundle: Bundle,
    val policy: CompiledPolicy,
    val accountByKeyHash: Map<ContentHash, ClientAccount>
)
