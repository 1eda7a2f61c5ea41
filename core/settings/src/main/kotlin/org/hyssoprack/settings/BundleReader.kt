package org.hyssoprack.settings

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.ResultCode

/** Parses the JSON of one bundle and collects structural faults with their paths. */
internal class BundleReader {
    val faults = mutableListOf<BundleFault>()

    /** Returns the parts of the bundle that could be parsed; incomplete if there are [faults]. */
    fun read(json: String): Bundle {
        val empty = Bundle(policy = "", accounts = emptyList())
        if (JsonDepth.of(json) > MAX_DEPTH) {
            fault("$", "the JSON nests deeper than $MAX_DEPTH levels")
            return empty
        }
        val root = parse(json) ?: return empty
        if (root !is JsonObject) {
            fault("$", "found ${kind(root)}; expected an object")
            return empty
        }
        onlyFields(root, "$", listOf("policy", "accounts"))
        return Bundle(policy = text(root, "$", "policy").orEmpty(), accounts = accounts(root))
    }

    fun fault(path: String, detail: String) {
        faults += BundleFault(code = ResultCode.SETTINGS_INVALID, path = path, detail = detail)
    }

    private fun parse(json: String): JsonElement? = try {
        Json.parseToJsonElement(json)
    } catch (e: SerializationException) {
        fault("$", "not JSON: ${e.message?.lineSequence()?.first()}")
        null
    }

    private fun accounts(root: JsonObject): List<AccountEntry> {
        val entries = array(root, "$", "accounts") ?: return emptyList()
        return entries.mapIndexedNotNull { index, entry -> account(entry, "$.accounts[$index]") }
    }

    private fun account(entry: JsonElement, path: String): AccountEntry? {
        if (entry !is JsonObject) {
            fault(path, "found ${kind(entry)}; expected an object")
            return null
        }
        onlyFields(entry, path, listOf("name", "keyHashes"))
        val hashes = array(entry, path, "keyHashes").orEmpty().mapIndexedNotNull { index, hash ->
            hash(hash, "$path.keyHashes[$index]")
        }
        val name = text(entry, path, "name") ?: return null
        return AccountEntry(name = ClientAccount(name), keyHashes = hashes)
    }

    private fun hash(element: JsonElement, path: String): ContentHash? {
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null || !HASH.matches(text)) {
            fault(path, "expected a SHA-256 hash of 64 lower-case hexadecimal digits")
            return null
        }
        return ContentHash(text)
    }

    private fun text(parent: JsonObject, path: String, field: String): String? {
        val element = present(parent, path, field) ?: return null
        if (element is JsonPrimitive && element.isString) return element.content
        fault("$path.$field", "found ${kind(element)}; expected a string")
        return null
    }

    private fun array(parent: JsonObject, path: String, field: String): JsonArray? {
        val element = present(parent, path, field) ?: return null
        if (element is JsonArray) return element
        fault("$path.$field", "found ${kind(element)}; expected an array")
        return null
    }

    private fun present(parent: JsonObject, path: String, field: String): JsonElement? {
        val element = parent[field]
        if (element == null) fault("$path.$field", "the field is missing")
        return element
    }

    private fun onlyFields(element: JsonObject, path: String, known: List<String>) {
        for (field in element.keys - known.toSet()) {
            fault("$path.$field", "unknown field; known are ${known.joinToString(" and ")}")
        }
    }

    private fun kind(element: JsonElement): String = when {
        element is JsonObject -> "an object"
        element is JsonArray -> "an array"
        element is JsonPrimitive && element.isString -> "a string"
        else -> "'${element.toString().take(SHOWN_CHARS)}'"
    }

    private companion object {
        const val SHOWN_CHARS = 40
        const val MAX_DEPTH = 16
        val HASH = Regex("[0-9a-f]{64}")
    }
}
