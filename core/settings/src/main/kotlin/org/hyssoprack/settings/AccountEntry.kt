package org.hyssoprack.settings

import kotlinx.serialization.Serializable
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash

/** A client account and the SHA-256 hashes of its bearer keys. */
@Serializable
data class AccountEntry(val name: ClientAccount, val keyHashes: List<ContentHash>)
