package org.hyssoprack.daemon

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash

/** The bundle that is in force. */
@Serializable
internal data class ActiveBody(val version: BundleVersion, val hash: ContentHash)
