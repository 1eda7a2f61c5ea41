package org.hyssoprack.host

import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.HostMessage

/** Registers the messages of this module for polymorphic serialization. */
val hostMessages: SerializersModule = SerializersModule {
    polymorphic(HostMessage::class) {
        subclass(RetryMessage.GiveUp::class)
        subclass(RetryMessage.GiveUpAnswer::class)
        subclass(CacheMessage::class)
    }
}
