package org.hyssoprack.store

import kotlinx.serialization.Serializable

/**
 * State of the store up to which its changes are known. A restored store assigns revisions again,
 * so those of different eras cannot be compared.
 *
 * @property era null if the store names none.
 */
@Serializable
data class StorePosition(val revision: Long, val era: StoreEra? = null) {
    /** Returns whether the revisions of this position and of [other] can be compared. */
    fun isComparableTo(other: StorePosition): Boolean = era == other.era
}
