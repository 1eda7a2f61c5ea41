package org.hyssoprack.gateway.forwarding.feeds

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.HostMessage
import org.hyssoprack.store.StoreEra
import org.hyssoprack.store.StorePosition

/**
 * Messages between a reader, which is a host that reads a table of the store for others, and those
 * other hosts.
 */
@Serializable
sealed interface FeedMessage : HostMessage {
    /** Era of the store that the sender knows; null if the store names none or the sender does not. */
    val era: StoreEra?

    /**
     * Requests the changes of [table] since [revision].
     *
     * @property revision revision that the sender has; null requests the whole table.
     * @property waitMs time for which the reply may be held if there is nothing newer, in
     *   milliseconds.
     * @property era era of [revision]; null if the store names none, and from hosts of older builds.
     */
    @Serializable
    @SerialName("fa")
    data class Request(
        @SerialName("n") val number: Long,
        @SerialName("t") val table: String,
        @SerialName("r") val revision: Long? = null,
        @SerialName("w") val waitMs: Long,
        @SerialName("e") override val era: StoreEra? = null
    ) : FeedMessage {
        /** Position that the sender has; null requests the whole table. */
        val position: StorePosition? get() = revision?.let { StorePosition(it, era) }
    }

    /**
     * Replies to a [Request].
     *
     * @property ageMs time since the store was last known to have nothing newer, in milliseconds.
     * @property sinceStoreRecoveryMs time since the store recovered from an outage, in
     *   milliseconds; null if there was none.
     * @property era era of [revision]; null if the store names none, and from hosts of older builds.
     * @property sinceResponseMs time since the store last responded to the reader, in milliseconds;
     *   null from hosts of older builds.
     */
    @Serializable
    @SerialName("fr")
    data class Rows(
        @SerialName("n") val number: Long,
        @SerialName("v") val revision: Long,
        @SerialName("a") val ageMs: Long,
        @SerialName("r") val rows: List<SharedRow> = emptyList(),
        @SerialName("b") val sinceStoreRecoveryMs: Long? = null,
        @SerialName("e") override val era: StoreEra? = null,
        @SerialName("s") val sinceResponseMs: Long? = null
    ) : FeedMessage {
        val position: StorePosition get() = StorePosition(revision, era)
    }

    /**
     * The sender does not have all changes since the revision, or has not read the table.
     *
     * @property era era of the store in which the sender read the table, if it names one.
     */
    @Serializable
    @SerialName("fu")
    data class Unavailable(
        @SerialName("n") val number: Long,
        @SerialName("e") override val era: StoreEra? = null
    ) : FeedMessage
}

/** A row of a table as exchanged between hosts; [value] is null if the row was deleted. */
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
