package org.hyssoprack.daemon

import org.hyssoprack.store.HostList
import org.hyssoprack.store.ObjectStore
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WeightStore
import org.hyssoprack.store.http.HttpHostList
import org.hyssoprack.store.http.HttpObjectStore
import org.hyssoprack.store.http.HttpTableService
import org.hyssoprack.store.http.HttpWeightStore
import org.hyssoprack.store.http.PlatformServiceClient

/** Clients of the platform's services at the addresses in the settings. */
internal class PlatformClients(settings: DaemonSettings) {
    val table: TableService = HttpTableService(PlatformServiceClient(settings.tableService))
    val objects: ObjectStore = HttpObjectStore(PlatformServiceClient(settings.objectStore))
    val hostList: HostList = HttpHostList(PlatformServiceClient(settings.hostList))
    val weights: WeightStore = HttpWeightStore(PlatformServiceClient(settings.weightStore))
}
