package org.hyssoprack.gateway.netty

/** A connection that carries out the decisions of a [ByteBudget]. */
internal interface HoldingOwner {
    /** Called when the host is short of memory, and when it no longer is. */
    fun onPressureChanged()

    /** Refuses the incomplete request and releases what is held for it. */
    fun onEvicted()
}
