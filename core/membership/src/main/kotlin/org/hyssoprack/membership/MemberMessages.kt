package org.hyssoprack.membership

import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.HostMessage

/** Registers all [MemberMessage]s as subclasses of [HostMessage]. */
val memberMessages: SerializersModule = SerializersModule {
    polymorphic(HostMessage::class) {
        subclass(MemberMessage.Ping::class)
        subclass(MemberMessage.IndirectPing::class)
        subclass(MemberMessage.Pong::class)
        subclass(MemberMessage.Join::class)
        subclass(MemberMessage.Compare::class)
        subclass(MemberMessage.Differ::class)
        subclass(MemberMessage.Sync::class)
    }
}
