package org.hyssoprack.common

/**
 * Marks a message between hosts of the system. Each module that defines messages also offers a
 * `SerializersModule` that registers them as subclasses of this interface.
 */
interface HostMessage {
    /**
     * Lowest revision of hosts that can decode this type of message; it is not sent to older ones,
     * which run beside newer ones while a fleet is replaced.
     */
    val sinceRevision: Int get() = 0
}
