package org.hyssoprack.store.http

/** HTTP statuses by which the platform's services answer. */
internal object StoreStatus {
    const val OK = 200
    const val MISSING = 404

    /** The row differs from what the write expected. */
    const val CONFLICT = 409

    /** The call was refused by the rate limit and had no effect. */
    const val LIMITED = 429
    const val SERVER_FAULT = 500

    /** The call was refused and had no effect. */
    const val UNAVAILABLE = 503
}
