package org.hyssoprack.settings

import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.polymorphic
import kotlinx.serialization.modules.subclass
import org.hyssoprack.common.HostMessage

/** Serializers of [BundleMessage] as subclasses of [HostMessage]. */
object BundleMessages {
    val module = SerializersModule {
        polymorphic(HostMessage::class) {
            subclass(BundleMessage.Fetch::class)
            subclass(BundleMessage.Body::class)
            subclass(BundleMessage.Ask::class)
            subclass(BundleMessage.State::class)
        }
    }
}
