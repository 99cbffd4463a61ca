import { create } from '@bufbuild/protobuf'
import type { Dispatcher, EntryDirectory } from '@hazellift/coordination'
import { ClusterStatusSchema, StatusResponseSchema } from '@hazellift/protocol'
import type { ClusterStatus, StatusResponse } from '@hazellift/protocol'
import type { PeerClients } from '../peers/peerClients.js'

/** Dependencies of the cluster view. */
export interface ClusterViewOptions {
  entryId: string
  incarnation: string
  apiAddress: () => string
  dispatcher: Dispatcher
  directory: EntryDirectory
  peers: Pick<PeerClients, 'status'>
  configVersion: () => bigint
  isReady: () => boolean
  /** Number of jobs that this entry owns. */
  jobs: () => number
}

/** Status of this entry and of the cluster, as the API and peers ask for it. */
export class ClusterView {
  constructor (private readonly options: ClusterViewOptions) {}

  /** Status of this entry: its jobs, queues and the endpoints that it knows. */
  ownStatus (): StatusResponse {
    const { entryId, incarnation, apiAddress, configVersion, isReady, jobs } = this.options
    return create(StatusResponseSchema, {
      entryId,
      incarnation,
      apiAddress: apiAddress(),
      configVersion: configVersion(),
      ready: isReady(),
      jobs: jobs(),
      queues: this.queues(),
      endpoints: this.endpoints()
    })
  }

  /** Status of all live entries; those that do not answer are listed as unreachable. */
  async clusterStatus (): Promise<ClusterStatus> {
    const { directory, peers } = this.options
    const answers = await Promise.all(directory.peers.map(async ({ entryId, sessionAddress }) =>
      ({ entryId, status: await peers.status(sessionAddress) })))
    const entries = answers.flatMap(({ status }) => status ?? [])
    const unreachable = answers.filter(({ status }) => status === undefined).map(({ entryId }) => entryId)
    return create(ClusterStatusSchema, { entries: [this.ownStatus(), ...entries], unreachable })
  }

  private queues () {
    const { dispatcher } = this.options
    return dispatcher.serviceNames.map((service) => {
      const state = dispatcher.service(service)!
      const running = [...state.agents.values()].reduce((sum, { sent }) => sum + sent.size, 0)
      return { service, queued: state.queue.size, running }
    })
  }

  private endpoints () {
    const { dispatcher } = this.options
    return dispatcher.knownAgents.map(({ agentId, service, zone, address, slots, credits, sent }) => ({
      agentId,
      service,
      zone,
      address,
      slots,
      credits,
      running: sent.size,
      health: dispatcher.service(service)?.health.stateOf(agentId) ?? ''
    }))
  }
}
