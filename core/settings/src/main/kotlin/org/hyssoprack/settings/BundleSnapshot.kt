package org.hyssoprack.settings

/** The bundle in force and what speaks for it, read together by requests. */
internal data class BundleSnapshot(
    val bundle: ActiveBundle? = null,
    val freshness: BundleFreshness = BundleFreshness()
)
