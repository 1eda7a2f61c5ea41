package org.hyssoprack.link.tcp

import java.util.concurrent.ConcurrentHashMap
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation

/** Remembers the newest incarnation of each peer. */
internal class IncarnationRegistry(private val self: HostRef) {
    private val newest = ConcurrentHashMap<HostId, Incarnation>()

    /** False if [ref] is an older run of its host than one seen before, or claims this host. */
    fun admit(ref: HostRef): Boolean {
        if (ref.host == self.host) return false
        val known = newest.merge(ref.host, ref.incarnation) { old, new -> maxOf(old, new) }
        return known == ref.incarnation
    }
}
