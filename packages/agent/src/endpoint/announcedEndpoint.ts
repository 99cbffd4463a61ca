import { create } from '@bufbuild/protobuf'
import { createLogger } from '@hazellift/common'
import type { Clock } from '@hazellift/common'
import type { AttemptEnd, RunAttempt, TaskHost } from '@hazellift/coordination'
import { EndpointStateSchema, REASONS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { Announcement } from '@hazellift/protocol'
import { createEndpointCaller } from './createEndpointCaller.js'
import type { EndpointCaller } from './createEndpointCaller.js'

/** Dependencies and limits of the announced endpoint. */
export interface AnnouncedEndpointOptions {
  clock: Clock
  /** Returns the task host that is notified of the endpoint. */
  host: () => Pick<TaskHost, 'setEndpoint'>
  /** Time without an announcement after which the endpoint is removed, in ms. */
  announcementTimeoutMs: number
  maxAnswerBytes: number
}

/** Result of an announcement; `other_endpoint` if an endpoint at another address is already announced. */
export type AnnounceOutcome = 'accepted' | 'other_endpoint'

const log = createLogger('agent:endpoint')
const endpointGone: AttemptEnd = { outcome: TASK_OUTCOMES.notStarted, reason: REASONS.endpointGone, body: '' }

/** The single endpoint of this agent, known only from its announcements. */
export class AnnouncedEndpoint {
  private current: Announcement | undefined
  private caller: EndpointCaller | undefined
  private cancelTimeout: (() => void) | undefined

  constructor (private readonly options: AnnouncedEndpointOptions) {}

  /** True while an endpoint is announced. */
  get isPresent (): boolean {
    return this.current !== undefined
  }

  /** Handles an announcement of the endpoint, the first or a repeated one. */
  announce (announcement: Announcement): AnnounceOutcome {
    const { clock, announcementTimeoutMs, host, maxAnswerBytes } = this.options
    if (this.current !== undefined && this.current.address !== announcement.address) return 'other_endpoint'
    this.cancelTimeout?.()
    this.cancelTimeout = clock.after(announcementTimeoutMs, () => this.remove('silent'))
    const { service, slots, address, connections } = announcement
    const isSame = this.current?.service === service && this.current.slots === slots && this.current.connections === connections
    if (isSame) return 'accepted'
    this.caller?.close()
    this.caller = createEndpointCaller(address, { connections, maxAnswerBytes })
    this.current = announcement
    log('endpoint_announced', { service, slots, address })
    host().setEndpoint(create(EndpointStateSchema, { service, slots, address }))
    return 'accepted'
  }

  /** Removes the endpoint after it withdrew, or sent no announcement in time. */
  remove (reason: 'withdrew' | 'silent'): void {
    if (this.current === undefined) return
    log('endpoint_left', { reason, service: this.current.service, address: this.current.address })
    this.cancelTimeout?.()
    this.current = undefined
    this.caller?.close()
    this.caller = undefined
    this.options.host().setEndpoint(undefined)
  }

  /** Runs an attempt at the endpoint; the attempt ends as not started if none is announced. */
  run: RunAttempt = (start, endpoint, signal) =>
    this.caller === undefined ? Promise.resolve(endpointGone) : this.caller.run(start, endpoint, signal)
}
