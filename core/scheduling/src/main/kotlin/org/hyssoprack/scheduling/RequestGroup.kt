package org.hyssoprack.scheduling

/**
 * Requests that wait in one place.
 *
 * @property sentCount number of them that the owner still expects; it counts down with each grant.
 */
internal class RequestGroup {
    val waiting = LinkedHashSet<EntryRequest>()
    var sentCount = 0
    var sentAtMs = 0L
}
