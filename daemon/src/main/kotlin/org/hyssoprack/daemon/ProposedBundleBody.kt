package org.hyssoprack.daemon

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ContentHash

/** Response to the proposal of a bundle. */
@Serializable
internal data class ProposedBundleBody(val hash: ContentHash)
