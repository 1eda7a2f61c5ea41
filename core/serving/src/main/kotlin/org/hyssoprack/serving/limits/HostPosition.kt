package org.hyssoprack.serving.limits

/**
 * Position of a host in the order of all hosts that may be serving.
 *
 * @property index from 0 to [count] - 1.
 */
data class HostPosition(val index: Int, val count: Int)
