package org.hyssoprack.daemon

import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.OperatorName
import org.hyssoprack.common.Region

/**
 * Settings of one daemon, read once at startup.
 *
 * @property link listen address for links to peers.
 * @property callers listen address for callers.
 * @property operators listen address for operators and metrics.
 * @property peers link addresses to try when the table service lists no member.
 * @property advertisedLink address at which peers reach this host, if it differs from [link].
 * @property operatorKeys SHA-256 hashes of the operators' keys.
 * @property addressTtlMs how long callers may use a response of `GET /v1/hosts`, in milliseconds.
 * @property maxBodyBytes largest accepted request body, in bytes.
 */
data class DaemonSettings(
    val host: HostId,
    val domain: FailureDomain,
    val region: Region,
    val link: NetworkAddress,
    val callers: NetworkAddress,
    val operators: NetworkAddress,
    val tableService: NetworkAddress,
    val objectStore: NetworkAddress,
    val hostList: NetworkAddress,
    val weightStore: NetworkAddress,
    val peers: List<NetworkAddress> = emptyList(),
    val advertisedLink: NetworkAddress = link,
    val operatorKeys: Map<ContentHash, OperatorName> = emptyMap(),
    val addressTtlMs: Long = 3_000,
    val maxBodyBytes: Int = 4 * 1024 * 1024
)
