package org.hyssoprack.serving.settings

/**
 * What may be repeated of a route's requests.
 *
 * @property mayRunAgain whether a request whose run is in doubt may be sent to another server.
 * @property isStream whether the answer is a series of events.
 */
enum class RouteKind(val mayRunAgain: Boolean, val isStream: Boolean) {
    SAFE(mayRunAgain = true, isStream = false),
    UNSAFE(mayRunAgain = false, isStream = false),
    STREAM(mayRunAgain = false, isStream = true),
    RESUMABLE_STREAM(mayRunAgain = true, isStream = true)
}
