package org.hyssoprack.orders

import org.hyssoprack.common.FencingNumber

/**
 * A lease that this host holds.
 *
 * @property revision revision of the lease's row.
 * @property endsMs monotonic time of its end on this host, counted from before the row was written.
 */
internal data class OrderLease(
    val leaseId: String,
    val fencing: FencingNumber,
    val revision: Long,
    val endsMs: Long
)
