package org.hyssoprack.settings

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash

/** One accepted version and the hash of its body. */
internal data class BundleRef(val version: BundleVersion, val hash: ContentHash)
