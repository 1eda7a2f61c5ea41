package org.hyssoprack.cli

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash

/** Answer to a proposal. */
@Serializable
internal data class ProposedRow(val hash: ContentHash)

/** An accepted version. */
@Serializable
internal data class ActiveRow(val version: BundleVersion, val hash: ContentHash)

/** One host in the operators' list; [load] in percent. */
@Serializable
internal data class HostRow(
    val host: String,
    val state: String,
    val domain: String,
    val region: String,
    val callers: String,
    val load: Int,
    val bundle: Long
)

/** One backend server in the operators' list; null where the asked host does not know. */
@Serializable
internal data class BackendServerRow(
    val id: String,
    val kind: String,
    val address: String,
    val domain: String,
    val generation: String,
    val serves: String? = null,
    val pool: String? = null,
    val owner: String? = null,
    val leaving: Boolean = false,
    val limit: Int? = null,
    val lent: Int? = null
)

/** The state that an operator wants a backend server to be in. */
@Serializable
internal data class OrderRow(
    val server: String,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val role: String
)
