package org.hyssoprack.settings

/** The bundle in force and its freshness, published together so that requests read both at once. */
internal data class BundleSnapshot(
    val bundle: ActiveBundle? = null,
    val freshness: BundleFreshness = BundleFreshness()
)
