package org.hyssoprack.serving.settings

/**
 * Whether a route's requests may be retried and whether it streams responses.
 *
 * @property mayRunAgain whether a request that may have run already may be sent to another server.
 * @property isStream whether the response is a stream of events.
 */
enum class RouteKind(val mayRunAgain: Boolean, val isStream: Boolean) {
    SAFE(mayRunAgain = true, isStream = false),
    UNSAFE(mayRunAgain = false, isStream = false),
    STREAM(mayRunAgain = false, isStream = true),
    RESUMABLE_STREAM(mayRunAgain = true, isStream = true)
}
