package org.hyssoprack.link.tcp

/** Why a connection ended. */
internal enum class CloseReason(val wireName: String) {
    IDLE("idle"),
    SILENT("silent"),
    BAD_FRAME("bad-frame"),
    BROKEN("broken"),
    REPLACED("replaced"),
    STOPPED("stopped")
}
