package org.hyssoprack.daemon

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash

/** The bundle that is in force. */
@Serializable
internal data class ActiveBundleBody(val version: BundleVersion, val hash: ContentHash)
