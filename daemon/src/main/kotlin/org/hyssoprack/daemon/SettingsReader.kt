package org.hyssoprack.daemon

import arrow.core.EitherNel
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.OperatorName
import org.hyssoprack.common.Region

/** Parses a daemon's settings file and reports every error with its JSON path. */
class SettingsReader {
    /** Returns the settings in [text], or all errors. */
    fun read(text: String): EitherNel<SettingsError, DaemonSettings> {
        val json = try {
            Json.parseToJsonElement(text)
        } catch (e: SerializationException) {
            return rootError("expected JSON: ${e.message?.lineSequence()?.first()}")
        }
        if (json !is JsonObject) return rootError("expected a JSON object")
        val parser = SettingsParser(json)
        val settings = parser.parse()
        val errors = parser.errors.toNonEmptyListOrNull()
        return errors?.left() ?: settings.right()
    }

    private fun rootError(detail: String) = nonEmptyListOf(SettingsError("$", detail)).left()

    private class SettingsParser(private val json: JsonObject) {
        val errors = mutableListOf<SettingsError>()

        fun parse(): DaemonSettings {
            val link = address("link")
            val settings = DaemonSettings(
                host = HostId(name("host")),
                domain = FailureDomain(name("domain")),
                region = Region(name("region")),
                link = link,
                callers = address("callers"),
                operators = address("operators"),
                tableService = address("tableService"),
                objectStore = address("objectStore"),
                hostList = address("hostList"),
                weightStore = address("weightStore"),
                peers = peers(),
                advertisedLink = if ("advertisedLink" in json) address("advertisedLink") else link,
                operatorKeys = operatorKeys(),
                addressTtlMs = number("addressTtlMs", default = 3_000, range = 100L..600_000L),
                maxBodyBytes =
                number("maxBodyBytes", default = 4L shl 20, range = 1_024L..(64L shl 20)).toInt()
            )
            (json.keys - KNOWN_FIELDS).forEach { add("$.$it", "unknown field") }
            return settings
        }

        private fun name(field: String): String {
            val text = string(json[field])
            if (text != null && NAME.matches(text)) return text
            add("$.$field", "expected a name of letters, digits, '.', '_' or '-'")
            return "invalid"
        }

        private fun address(field: String): NetworkAddress =
            address("$.$field", json[field]) ?: PLACEHOLDER_ADDRESS

        private fun address(path: String, element: JsonElement?): NetworkAddress? {
            val address = string(element)?.let(NetworkAddress::parse)
            if (address == null) add(path, "expected an IP number and a port, such as 10.0.0.1:80")
            return address
        }

        private fun peers(): List<NetworkAddress> =
            array("peers").mapIndexedNotNull { i, peer -> address("$.peers[$i]", peer) }

        private fun operatorKeys(): Map<ContentHash, OperatorName> {
            val keys = HashMap<ContentHash, OperatorName>()
            array("operatorKeys").forEachIndexed { i, element ->
                val path = "$.operatorKeys[$i]"
                val entry = element as? JsonObject
                val name = string(entry?.get("name"))?.takeIf { NAME.matches(it) }
                val hash = string(entry?.get("keyHash"))?.let(ContentHash::parse)
                if (name == null) add("$path.name", "expected a name")
                if (hash == null) add("$path.keyHash", "expected 64 hexadecimal digits")
                if (name == null || hash == null) return@forEachIndexed
                val isDuplicate = keys.put(hash, OperatorName(name)) != null
                if (isDuplicate) add("$path.keyHash", "duplicate key hash")
            }
            return keys
        }

        private fun number(field: String, default: Long, range: LongRange): Long {
            val element = json[field] ?: return default
            val value = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
            if (value != null && value in range) return value
            add("$.$field", "expected a whole number from ${range.first} to ${range.last}")
            return default
        }

        private fun array(field: String): JsonArray {
            val element = json[field] ?: return JsonArray(emptyList())
            if (element is JsonArray) return element
            add("$.$field", "expected a list")
            return JsonArray(emptyList())
        }

        private fun string(element: JsonElement?): String? =
            (element as? JsonPrimitive)?.takeIf { it.isString }?.content

        private fun add(path: String, detail: String) {
            errors += SettingsError(path = path, detail = detail)
        }
    }

    private companion object {
        val NAME = Regex("""[A-Za-z0-9._-]{1,64}""")
        val PLACEHOLDER_ADDRESS = NetworkAddress(ip = "0.0.0.0", port = 1)
        val KNOWN_FIELDS = setOf(
            "host", "domain", "region", "link", "callers", "operators", "tableService",
            "objectStore", "hostList", "weightStore", "peers", "advertisedLink",
            "operatorKeys", "addressTtlMs", "maxBodyBytes"
        )
    }
}
