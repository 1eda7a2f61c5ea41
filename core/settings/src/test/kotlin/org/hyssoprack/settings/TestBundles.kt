package org.hyssoprack.settings

import kotlinx.serialization.json.Json
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash

/** Small valid bundles. */
internal object TestBundles {
    private val POLICY = """
        tier high objective 99%
        account alpha
        pool p {
          engines model "m"
        }
        route all {
          tier high
          pool p
          deadline 5 s
        }
    """.trimIndent()

    /** A bundle whose content differs for each [number]. */
    fun json(number: Int): String {
        val account = AccountEntry(
            name = ClientAccount("alpha"),
            keyHashes = listOf(ContentHash.of("key $number"))
        )
        return Json.encodeToString(Bundle(policy = POLICY, accounts = listOf(account)))
    }

    fun hash(number: Int): ContentHash = ContentHash.of(json(number))
}
