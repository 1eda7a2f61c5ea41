package org.hyssoprack.settings

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash
import org.hyssoprack.policy.CompiledPolicy

/** An accepted bundle, validated and compiled for serving requests. */
data class ActiveBundle(
    val version: BundleVersion,
    val hash: ContentHash,
    val policy: CompiledPolicy,
    val accountByKeyHash: Map<ContentHash, ClientAccount>
)
