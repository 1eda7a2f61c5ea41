package org.hyssoprack.settings

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.OperatorName

/** Body of the table row that names the accepted bundle. */
@Serializable
data class AcceptedBundle(
    val version: BundleVersion,
    val hash: ContentHash,
    val acceptedBy: OperatorName,
    val changeId: String
)
