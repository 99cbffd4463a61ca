import { create } from '@bufbuild/protobuf'
import type { Dispatcher, EntryDirectory } from '@hazellift/coordination'
import { ClusterStatusSchema, StatusResponseSchema } from '@hazellift/protocol'
import type { ClusterStatus, StatusResponse } from '@hazellift/protocol'
import type { PeerClients } from '../peers/peerClients.js'

/** What the view needs. */
export interface ClusterViewOptions {
  entryId: string
  incarnation: string
  apiAddress: () => string
  dispatcher: Dispatcher
  directory: EntryDirectory
  peers: Pick<PeerClients, 'status'>
  configVersion: () => bigint
  isReady: () => boolean
  jobs: () => number
}

/** What this entry, and all of them together, see of the system. */
export class ClusterView {
  constructor (private readonly options: ClusterViewOptions) {}

  /** What this entry sees. */
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

  /** What all live entries see. */
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
