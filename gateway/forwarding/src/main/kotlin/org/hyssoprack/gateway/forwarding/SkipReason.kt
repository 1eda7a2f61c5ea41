package org.hyssoprack.gateway.forwarding

/** Why a response on a request's connection was not taken for that request's own. */
internal enum class SkipReason(val wireName: String) {
    /** It has the id of another request. */
    OTHER_REQUEST("other-request"),

    /** It is the rest of a response whose head came before the request was sent. */
    REST("rest")
}
