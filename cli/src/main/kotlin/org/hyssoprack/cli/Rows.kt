package org.hyssoprack.cli

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash

/** Response to a proposed bundle. */
@Serializable
internal data class ProposalResponse(val hash: ContentHash)

/** Response with the version and hash of the bundle in force. */
@Serializable
internal data class ActiveBundleResponse(val version: BundleVersion, val hash: ContentHash)

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

/** One backend server in the operators' list; values the host does not have are null. */
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

/** Request for the model, adapters and role that a backend server is to load. */
@Serializable
internal data class OrderRequest(
    val server: String,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val role: String
)
