package org.hyssoprack.settings

/** The bundle in force and what speaks for it, read together by requests. */
internal data class HolderSnapshot(
    val bundle: ActiveBundle? = null,
    val currency: Currency = Currency()
)
