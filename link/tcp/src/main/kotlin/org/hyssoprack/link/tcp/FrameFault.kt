package org.hyssoprack.link.tcp

/** Why a frame could not be decoded or encoded. */
internal enum class FrameFault(val wireName: String) {
    TOO_LARGE("too-large"),
    EMPTY("empty"),
    UNKNOWN_KIND("unknown-kind"),
    NOT_DECODABLE("not-decodable"),
    NOT_ENCODABLE("not-encodable")
}
