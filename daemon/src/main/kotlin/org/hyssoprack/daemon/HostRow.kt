package org.hyssoprack.daemon

import kotlinx.serialization.Serializable

/**
 * One host in the operators' list; [load] is in percent, [bundle] is the version in force on it.
 */
@Serializable
internal data class HostRow(
    val host: String,
    val incarnation: String,
    val state: String,
    val domain: String,
    val region: String,
    val link: String,
    val callers: String,
    val load: Int,
    val bundle: Long
)
