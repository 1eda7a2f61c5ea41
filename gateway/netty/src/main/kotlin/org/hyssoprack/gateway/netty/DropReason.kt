package org.hyssoprack.gateway.netty

/** Why a response was dropped, and its connection with it. */
enum class DropReason(val wireName: String) {
    /** It arrived on an idle connection. */
    IDLE("idle"),

    /** It arrived after the response to the request, on the same connection. */
    AFTER_RESPONSE("after-response")
}
