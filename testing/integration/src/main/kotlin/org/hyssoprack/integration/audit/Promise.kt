package org.hyssoprack.integration.audit

/** Guarantees that must hold under all faults. */
enum class Promise(val title: String) {
    AT_MOST_ONCE("Each request is dispatched at most once"),
    TIERS("A higher tier is never shed while a lower tier still runs"),
    WHOLE_ANSWER("Every caller receives the whole answer to its own request"),
    NOT_RUN_IS_TRUE("\"Not run\" means that the request did not run"),
    RUNS_ONCE("A call that may not be repeated runs at most once"),
    LEAVING("A leaving backend server receives no new work after a few seconds"),
    GRACEFUL_STOP("A graceful stop cuts off no request in progress"),
    BUNDLES("An accepted bundle is in force within seconds and is never reverted")
}
