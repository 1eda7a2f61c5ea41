package org.hyssoprack.standins.engine

/** Why a request ended on an emulated engine. */
internal enum class EndReason(val wireName: String) {
    DONE("done"),
    CANCELLED("cancelled"),
    CONNECTION_LOST("connection-lost"),
    EXPORTED("exported")
}
