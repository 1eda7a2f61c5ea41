package org.hyssoprack.explain

/** Main cause of how a request ended. */
enum class Cause {
    /**
     * The host could not confirm its settings, and at least half of the others had lost the
     * connection to the store.
     */
    STORE_AWAY,

    /** The host could not confirm its settings, and most others were connected to the store. */
    HOST_CUT_OFF,

    /** The settings in force, or the account's quota, do not allow the request. */
    NOT_ALLOWED,

    /** A backend server broke the connection, sent a mismatched response or failed. */
    SERVER_FAILED,

    /** Most of the time passed before a slot was granted, or none was free in time. */
    QUEUEING,

    /** All backend servers of the service accept a limited rate of requests. */
    SERVER_LIMIT,

    /** A part of the request's prompt crashes backend servers. */
    PROMPT_PART,

    /** The same request crashed backend servers before. */
    CRASHING_REQUEST,

    /** Most of the time passed at the backend server. */
    SLOW_SERVER,

    /** The caller closed the connection. */
    CALLER_LEFT,

    /** The host was stopping. */
    HOST_STOPPING,

    /** No fault was found. */
    IN_ORDER
}
