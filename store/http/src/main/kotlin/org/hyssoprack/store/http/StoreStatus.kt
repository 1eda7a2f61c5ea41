package org.hyssoprack.store.http

/** HTTP statuses of the platform's services. */
internal object StoreStatus {
    const val OK = 200
    const val MISSING = 404

    /** The row's revision differs from the one expected by the write. */
    const val CONFLICT = 409

    /** The call was rejected by the rate limit and had no effect. */
    const val LIMITED = 429
    const val SERVER_FAULT = 500

    /** The call was refused and had no effect. */
    const val UNAVAILABLE = 503
}
