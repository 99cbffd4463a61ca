import { create } from '@bufbuild/protobuf'
import { createLogger } from '@hazellift/common'
import type { Clock } from '@hazellift/common'
import type { AttemptEnd, RunAttempt, TaskHost } from '@hazellift/coordination'
import { EndpointStateSchema, REASONS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { Announcement } from '@hazellift/protocol'
import { createEndpointCaller } from './createEndpointCaller.js'
import type { EndpointCaller } from './createEndpointCaller.js'

/** What the announced endpoint needs. */
export interface AnnouncedEndpointOptions {
  clock: Clock
  host: () => Pick<TaskHost, 'setEndpoint'>
  announcementTimeoutMs: number
  maxAnswerBytes: number
}

/** Result of an announcement. */
export type AnnounceOutcome = 'accepted' | 'other_endpoint'

const log = createLogger('agent:endpoint')
const endpointGone: AttemptEnd = { outcome: TASK_OUTCOMES.notStarted, reason: REASONS.endpointGone, body: '' }

/** The one endpoint beside this agent, known from its announcements alone. */
export class AnnouncedEndpoint {
  private current: Announcement | undefined
  private caller: EndpointCaller | undefined
  private cancelTimeout: (() => void) | undefined

  constructor (private readonly options: AnnouncedEndpointOptions) {}

  /** True while an endpoint is announced. */
  get isPresent (): boolean {
    return this.current !== undefined
  }

  /** The endpoint announced itself, for the first time or again. */
  announce (announcement: Announcement): AnnounceOutcome {
    const { clock, announcementTimeoutMs: silenceMs, host, maxAnswerBytes } = this.options
    if (this.current !== undefined && this.current.address !== announcement.address) return 'other_endpoint'
    this.cancelTimeout?.()
    this.cancelTimeout = clock.after(silenceMs, () => this.remove('silent'))
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

  /** The endpoint withdrew, or was silent for too long. */
  remove (reason: 'withdrew' | 'silent'): void {
    if (this.current === undefined) return
    log('endpoint_left', { reason, service: this.current.service, address: this.current.address })
    this.cancelTimeout?.()
    this.current = undefined
    this.caller?.close()
    this.caller = undefined
    this.options.host().setEndpoint(undefined)
  }

  /** Calls the endpoint. */
  run: RunAttempt = (start, endpoint, signal) =>
    this.caller === undefined ? Promise.resolve(endpointGone) : this.caller.run(start, endpoint, signal)
}
