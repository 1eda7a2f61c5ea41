package org.hyssoprack.orders

import org.hyssoprack.common.FencingNumber

/**
 * An order lease that this host holds.
 *
 * @property revision revision of the lease's row in the table service.
 * @property endsMs monotonic time of its expiry on this host; the term starts before the row is
 *   written.
 */
internal data class OrderLease(
    val leaseId: String,
    val fencing: FencingNumber,
    val revision: Long,
    val endsMs: Long
)
