package org.hyssoprack.settings

import kotlinx.serialization.Serializable

/**
 * A settings bundle as operators write it, in JSON.
 *
 * @property policy text in the policy language.
 * @property accounts all client accounts with their keys.
 */
@Serializable
data class Bundle(val policy: String, val accounts: List<AccountEntry>)
