package org.hyssoprack.link.tcp

/** Why a frame cannot be read or written. */
internal enum class FrameFault(val wireName: String) {
    TOO_LARGE("too-large"),
    EMPTY("empty"),
    UNKNOWN_KIND("unknown-kind"),
    NOT_DECODABLE("not-decodable"),
    NOT_ENCODABLE("not-encodable")
}
