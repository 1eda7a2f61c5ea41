package org.hyssoprack.gateway.forwarding.feeds

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.HostMessage

/** Messages between a host that reads a table of the store for others and those others. */
@Serializable
sealed interface FeedMessage : HostMessage {
    /**
     * Asks for what is newer than [revision] in [table].
     *
     * @property revision what the sender knows; null asks for the whole table.
     * @property waitMs how long the answer may be held if there is nothing newer, in milliseconds.
     */
    @Serializable
    @SerialName("fa")
    data class Request(
        @SerialName("n") val number: Long,
        @SerialName("t") val table: String,
        @SerialName("r") val revision: Long? = null,
        @SerialName("w") val waitMs: Long
    ) : FeedMessage

    /**
     * Answers an [Request].
     *
     * @property ageMs how long ago the store had nothing newer, in milliseconds.
     * @property sinceStoreRecoveryMs how long ago the store came back; null if it was not away.
     */
    @Serializable
    @SerialName("fr")
    data class Rows(
        @SerialName("n") val number: Long,
        @SerialName("v") val revision: Long,
        @SerialName("a") val ageMs: Long,
        @SerialName("r") val rows: List<SharedRow> = emptyList(),
        @SerialName("b") val sinceStoreRecoveryMs: Long? = null
    ) : FeedMessage

    /** The sender does not know all changes since the revision, or the table at all. */
    @Serializable
    @SerialName("fu")
    data class Unavailable(@SerialName("n") val number: Long) : FeedMessage
}

/** A row of a table as hosts tell it each other; [value] is null if the row was deleted. */
@Serializable
data class SharedRow(@SerialName("k") val key: String, @SerialName("v") val value: String? = null)

/** Registers [FeedMessage] for the link between hosts. */
val feedMessages: SerializersModule = SerializersModule {
    polymorphic(HostMessage::class) {
        subclass(FeedMessage.Request::class)
        subclass(FeedMessage.Rows::class)
        subclass(FeedMessage.Unavailable::class)
    }
}
