package org.hyssoprack.daemon

import kotlinx.serialization.Serializable

/**
 * One backend server in the operators' list.
 *
 * @property limit maximum number of slots that the owner lends; null on hosts that do not own the
 *   server.
 * @property waiting number of registered requests by tier, the highest first; null on hosts that do
 *   not own the server.
 */
@Serializable
internal data class BackendServerRow(
    val id: String,
    val kind: String,
    val address: String,
    val domain: String,
    val generation: String,
    val serves: String?,
    val pool: String?,
    val owner: String?,
    val leaving: Boolean,
    val limit: Int? = null,
    val lent: Int? = null,
    val waiting: List<Int>? = null,
    val tokenMs: Double? = null
)
