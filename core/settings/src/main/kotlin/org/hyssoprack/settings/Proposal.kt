package org.hyssoprack.settings

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.OperatorName

/** Value of the table row of a proposed bundle. */
@Serializable
data class Proposal(
    val hash: ContentHash,
    val proposedBy: OperatorName,
    val signedOffBy: List<OperatorName> = emptyList()
)
