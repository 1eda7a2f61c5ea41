package org.hyssoprack.store.http

import kotlinx.serialization.Serializable

/** Request to the table service for all rows of [table] whose key starts with [prefix]. */
@Serializable
data class ScanRequest(val table: String, val prefix: String)
