package org.hyssoprack.integration.cases

/** Fault categories, which are the columns of the table in docs/PROMISES.md. */
internal enum class Fault(val title: String) {
    NONE("no fault"),
    PROCESS_DIES("process dies"),
    BURST("burst"),
    STRAGGLER("straggler"),
    STORE_DOWN("store down or slow"),
    REPLY_LOST("store reply lost or late"),
    HOLDER_PAUSED("host paused"),
    OPERATORS("two operators"),
    SILENCE("connection silent or cut"),
    BAD_ANSWER("answer cut, late or mixed")
}
