package org.hyssoprack.settings

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.OperatorName

/** Value of the table row that references the accepted bundle. */
@Serializable
data class AcceptedBundle(
    val version: BundleVersion,
    val hash: ContentHash,
    val acceptedBy: OperatorName,
    val changeId: String
)
