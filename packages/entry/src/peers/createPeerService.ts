import type { ServiceImpl } from '@connectrpc/connect'
import type { ConfigWatch, EntryDirectory, JobService } from '@hazellift/coordination'
import type { PeerService } from '@hazellift/protocol'
import type { ClusterView } from '../operations/clusterView.js'

const CANCEL_WAIT_MS = 2000

/**
 * Creates the service that answers calls from other entries.
 *
 * @param jobs - job service of this entry
 * @param directory - directory of the entries that this one knows
 * @param configWatch - configuration in force
 * @param clusterView - status of this entry
 */
export const createPeerService = (
  jobs: JobService, directory: EntryDirectory, configWatch: ConfigWatch, clusterView: ClusterView
): ServiceImpl<typeof PeerService> => ({
  await: (query) => jobs.peerAnswers.await(query),
  cancel: (query) => jobs.peerAnswers.cancel({ ...query, waitMs: CANCEL_WAIT_MS }),
  introduce: ({ entry }) => {
    if (entry !== undefined) directory.introduce(entry)
    return { incarnation: directory.ownRecord().incarnation }
  },
  configChanged: async ({ version }) => {
    if (configWatch.version < version) await configWatch.refresh()
    return { version: configWatch.version }
  },
  status: () => clusterView.ownStatus()
})
