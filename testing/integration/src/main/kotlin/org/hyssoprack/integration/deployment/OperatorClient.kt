package org.hyssoprack.integration.deployment

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Makes operator calls to the hosts of a deployment. */
class OperatorClient internal constructor(private val journal: Journal) {
    /** Proposes a bundle, signs it off as the second operator and returns its hash. */
    fun proposeAndSignOff(host: HostUnderTest, policy: String): String {
        val proposed = Http.sendOrFail(
            method = "POST",
            url = "${host.operatorUrl}/v1/bundles",
            body = TestPolicy.bundle(policy),
            bearer = TestPolicy.keyOf(TestPolicy.FIRST_OPERATOR)
        )
        val hash = parse(proposed).getValue("hash").jsonPrimitive.content
        Http.sendOrFail(
            method = "POST",
            url = "${host.operatorUrl}/v1/bundles/$hash/sign-off",
            bearer = TestPolicy.keyOf(TestPolicy.SECOND_OPERATOR)
        )
        return hash
    }

    /** Accepts the bundle [hash] on base version [base]; the answer contains the new version. */
    fun accept(host: HostUnderTest, hash: String, base: Long): HttpAnswer {
        val answer = Http.send(
            method = "POST",
            url = "${host.operatorUrl}/v1/bundles/$hash/accept?base=$base",
            bearer = TestPolicy.keyOf(TestPolicy.FIRST_OPERATOR)
        )
        if (answer.isSuccess) {
            journal.record(JournalAction.ACCEPTED, hash, detail = versionOf(answer.body))
        }
        return answer
    }

    /** Returns the bundle version in force on [host]; 0 if the host reports none. */
    fun activeVersion(host: HostUnderTest): Long {
        val answer = Http.send(
            method = "GET",
            url = "${host.operatorUrl}/v1/bundles/active",
            bearer = TestPolicy.keyOf(TestPolicy.FIRST_OPERATOR)
        )
        return if (answer.isSuccess) versionOf(answer.body) else 0
    }

    private fun versionOf(body: String): Long = parse(body).getValue("version").jsonPrimitive.long

    private fun parse(body: String): JsonObject = Json.parseToJsonElement(body).jsonObject
}
