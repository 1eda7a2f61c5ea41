package org.hyssoprack.serving.settings

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ServiceId

/**
 * One accepted version of the operators' settings, indexed for lookups.
 *
 * @property accounts client accounts by key; null if no keys are in use.
 */
class ServingSettings(
    val version: BundleVersion,
    routes: List<Route>,
    services: List<ServiceSpec>,
    val limits: CallerLimits = CallerLimits(),
    private val accounts: Map<String, Account>? = null
) {
    /** Accounts with a quota, by name. */
    val limitedAccounts: Map<ClientAccount, Account> =
        accounts?.values.orEmpty().filter { it.ratePerS > 0 }.associateBy { it.name }

    private val routesByHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, list) -> list.associateBy { it.prefix } }

    val services: Map<ServiceId, ServiceSpec> = services.associateBy { it.id }

    val routeCount: Int = routes.size

    val keysInUse: Boolean get() = accounts != null

    /** Returns the account that owns [key], or null if there is none. */
    fun accountOf(key: String): Account? = accounts?.get(key)

    /**
     * Returns the route of [host] with the longest prefix of [path], without its query, or null if
     * there is none.
     */
    fun routeFor(host: String, path: String): Route? {
        val prefixes = routesByHost[host] ?: return null
        var end = path.substringBefore('?').lastIndexOf('/')
        while (end >= 0) {
            prefixes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
