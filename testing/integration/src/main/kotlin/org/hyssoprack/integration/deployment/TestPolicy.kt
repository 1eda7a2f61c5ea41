package org.hyssoprack.integration.deployment

import java.security.MessageDigest
import java.util.HexFormat
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash
import org.hyssoprack.settings.AccountEntry
import org.hyssoprack.settings.Bundle

/** Policy, accounts and keys of the deployments under test. */
object TestPolicy {
    const val ACCOUNT = "families"
    const val OTHER_ACCOUNT = "phone-line"
    const val FIRST_OPERATOR = "ada"
    const val SECOND_OPERATOR = "ben"

    val TEXT = """
        tier high objective 99%
        tier low objective 95%
        account families share 2
        account phone-line
        pool assistant {
          engines model "m"
          first-token 1 s
          between-tokens 100 ms
          preempt after 200 ms
          queue 200
        }
        pool portal {
          service "portal"
          queue 200
        }
        route letter {
          when lane "letters"
          tier high
          pool assistant
          deadline 30 s
        }
        route question {
          tier low
          pool assistant
          deadline 20 s
        }
        route confirm {
          when method POST and path "/orders/*"
          tier high
          pool portal
          deadline 5 s
          once
        }
        route lookup {
          when method GET
          tier low
          pool portal
          deadline 5 s
        }
    """.trimIndent()

    /** Returns the bearer key of the account or operator [name]. */
    fun keyOf(name: String): String = "key-of-$name"

    /** Returns the JSON of a bundle with [policy] and both accounts. */
    fun bundle(policy: String): String {
        val accounts = listOf(ACCOUNT, OTHER_ACCOUNT).map {
            AccountEntry(ClientAccount(it), keyHashes = listOf(ContentHash(hash(keyOf(it)))))
        }
        return Json.encodeToString(Bundle(policy = policy, accounts = accounts))
    }

    /** Returns the SHA-256 of [text] in hexadecimal. */
    fun hash(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
