import type { ServiceImpl } from '@connectrpc/connect'
import type { ConfigWatch, EntryDirectory, JobService } from '@hazellift/coordination'
import type { PeerService } from '@hazellift/protocol'
import type { ClusterView } from '../operations/clusterView.js'

const CANCEL_WAIT_MS = 2000

/**
 * Answers calls of other entries.
 *
 * @param jobs - jobs of this entry
 * @param directory - entries that this one knows
 * @param watch - configuration in force
 * @param view - what this entry sees
 */
export const createPeerService = (
  jobs: JobService, directory: EntryDirectory, watch: ConfigWatch, view: ClusterView
): ServiceImpl<typeof PeerService> => ({
  await: (query) => jobs.peerAnswers.await(query),
  cancel: (query) => jobs.peerAnswers.cancel({ ...query, waitMs: CANCEL_WAIT_MS }),
  introduce: ({ entry }) => {
    if (entry !== undefined) directory.introduce(entry)
    return { incarnation: directory.ownRecord().incarnation }
  },
  configChanged: async ({ version }) => {
    if (watch.version < version) await watch.refresh()
    return { version: watch.version }
  },
  status: () => view.ownStatus()
})
