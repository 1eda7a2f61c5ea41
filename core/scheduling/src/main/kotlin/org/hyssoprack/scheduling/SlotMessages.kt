package org.hyssoprack.scheduling

import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.HostMessage

/** Registers all [SlotMessage] types as messages between hosts. */
val slotMessages: SerializersModule = SerializersModule {
    polymorphic(HostMessage::class) {
        subclass(SlotMessage.Ask::class)
        subclass(SlotMessage.AskBlock::class)
        subclass(SlotMessage.Withdraw::class)
        subclass(SlotMessage.Grant::class)
        subclass(SlotMessage.Return::class)
        subclass(SlotMessage.Renew::class)
        subclass(SlotMessage.Recall::class)
        subclass(SlotMessage.Preempt::class)
        subclass(SlotMessage.ShedCheck::class)
        subclass(SlotMessage.ShedVerdict::class)
        subclass(SlotMessage.Digest::class)
    }
}
