package org.hyssoprack.gateway.netty

/** Why a [ByteBudget] refuses a request or closes a connection. */
enum class BudgetReason(val wireName: String) {
    /** All connections together hold too many bytes. */
    BYTES("bytes"),

    /** Too many connections of callers are open. */
    CONNECTIONS("connections"),

    /** A request has too many header or trailer lines. */
    LINES("lines")
}
