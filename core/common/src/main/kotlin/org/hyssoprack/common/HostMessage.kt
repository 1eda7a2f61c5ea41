package org.hyssoprack.common

/**
 * Marks a message between hosts of the system. Each module that defines messages also offers a
 * `SerializersModule` that registers them as subclasses of this interface.
 */
interface HostMessage
