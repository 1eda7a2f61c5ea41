package org.hyssoprack.daemon

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ContentHash

/** Answer to a proposal of a bundle. */
@Serializable
internal data class ProposedBody(val hash: ContentHash)
