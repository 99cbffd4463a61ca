import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { findHostRefusal } from '@hazellift/decisions'
import type { HostRefusal, EntryLoadView } from '@hazellift/decisions'
import { HAND_ON_ENDS, HandOnEndSchema, HandOnNewsSchema, REASONS } from '@hazellift/protocol'
import type { CallerFrame, HandOnEnd, HandOnHello, HandOnOffer, HostFrame, Reason } from '@hazellift/protocol'
import type { OriginEntry } from '../leased/echoLimits.js'
import type { LeasedFleet } from '../leased/leasedFleet.js'
import type { LeasedJob, LeasedJobEnd } from '../leased/leasedJob.js'
import { submissionKey } from '../tasks/keys.js'
import { decodeOffer } from './offers.js'
import { reportServiceLoad } from './loadReport.js'
import type { HandOnLink, JobDispatcher } from './types.js'

/** Another entry that hands work to this one, on one stream. */
export interface OriginPeer {
  readonly entryId: string
  readonly link: HandOnLink<HostFrame>
  readonly originEntry: OriginEntry
  /** Its jobs by the number of their offer, until nothing of them runs. */
  readonly jobs: Map<number, LeasedJob>
  sentAt: number
  /** When a frame of it was read last. */
  receivedAt: number
}

/** Why an offer was not taken. */
export type OfferRefusal = HostRefusal | 'known'

/** What hosting needs. */
export interface HostedJobsOptions {
  clock: Clock
  dispatcher: JobDispatcher
  fleet: LeasedFleet
  /** Finds a job under this key wherever this entry has it. */
  find: (key: string) => LeasedJob | undefined
  ownLoad: () => EntryLoadView
  isStopping: () => boolean
  events: {
    hosted: (entryId: string, job: LeasedJob, aliveMs: number) => void
    refused: (entryId: string, submission: string, reason: OfferRefusal, aliveMs: number) => void
    /** An entry fell silent, or its stream ended, with jobs here; they are stopped. */
    originEntryLost: (entryId: string, silentMs: number, jobs: number) => void
  }
}

/** A host shows that it lives this often, and its stamp so asks the other entry to do so; a look more may lie between. */
const FRAME_INTERVAL_MS = 50
/**
 * An entry that was not alive for so long for all that is known has its jobs
 * stopped here: before their agents' authority, which also keeps this entry's
 * own tasks, has lapsed for want of echoes.
 */
export const ORIGIN_TIMEOUT_MS = 300
/** A stream on which nothing was read for so long is ended. */
const STREAM_TIMEOUT_MS = 2000

/** Jobs that other entries handed to this one: it owns their starts, the others keep callers and answers. */
export class HostedJobs {
  private readonly peers = new Set<OriginPeer>()

  constructor (private readonly options: HostedJobsOptions) {}

  /** Jobs that are not over. */
  get size (): number {
    let size = 0
    for (const { jobs } of this.peers) size += jobs.size
    return size
  }

  /** Another entry has opened a stream. */
  open ({ entryId }: HandOnHello, link: HandOnLink<HostFrame>): OriginPeer {
    const peer: OriginPeer = { entryId, link, originEntry: { aliveAt: -Infinity }, jobs: new Map(), sentAt: -Infinity, receivedAt: this.options.clock.now() }
    this.peers.add(peer)
    this.options.fleet.echoLimits.addOrigin(peer.originEntry)
    link.add(() => {})
    return peer
  }

  /** The stream is over: nobody takes the answers any more. */
  closed (peer: OriginPeer): void {
    if (!this.peers.delete(peer)) return
    this.options.fleet.echoLimits.removeOrigin(peer.originEntry)
    this.onOriginLost(peer)
  }

  onFrame (peer: OriginPeer, { echoStampMs, offers, withdrawals }: CallerFrame): void {
    const now = this.options.clock.now()
    peer.receivedAt = now
    // A stamp that this process has not made yet proves nothing.
    if (echoStampMs > peer.originEntry.aliveAt && echoStampMs > 0 && echoStampMs <= now) peer.originEntry.aliveAt = echoStampMs
    for (const offer of offers) this.onOffer(peer, offer, now)
    for (const offer of withdrawals) this.cancel(peer.jobs.get(offer), REASONS.callerGone, 'the job was withdrawn')
  }

  /** Fills in what every frame carries, as it leaves. */
  fillFrame ({ originEntry: sponsor }: OriginPeer, frame: HostFrame): void {
    const { clock, fleet, ownLoad: own, isStopping } = this.options
    const now = clock.now()
    frame.stampMs = now
    frame.news = create(HandOnNewsSchema, {
      lagMs: own().lagMs,
      stopping: isStopping(),
      rooms: [...fleet.services.keys()].map((service) => ({ service, ...reportServiceLoad(fleet, service, now, sponsor) }))
    })
  }

  /** Looks at what time has changed. */
  sweep (now: number): void {
    for (const peer of [...this.peers]) {
      if (now - peer.receivedAt > STREAM_TIMEOUT_MS) {
        peer.link.close()
        this.closed(peer)
        continue
      }
      if (peer.jobs.size > 0 && now - peer.originEntry.aliveAt > ORIGIN_TIMEOUT_MS) this.onOriginLost(peer)
      if (now - peer.sentAt < FRAME_INTERVAL_MS) continue
      peer.sentAt = now
      peer.link.add(() => {})
    }
  }

  /** Stops all of them, as the entry's grace time is over. */
  cutAll (): void {
    for (const { jobs } of this.peers) for (const job of jobs.values()) this.cancel(job, REASONS.stopCut, 'the entry stopped before the job ended')
  }

  private onOffer (peer: OriginPeer, offer: HandOnOffer, now: number): void {
    const { events } = this.options
    const aliveMs = Math.round(now - peer.originEntry.aliveAt)
    const refusal = this.findRefusal(peer, offer, now)
    if (refusal !== undefined) {
      events.refused(peer.entryId, offer.submission, refusal, aliveMs)
      peer.link.add((frame) => {
        frame.ends.push(create(HandOnEndSchema, { offer: offer.offer, state: HAND_ON_ENDS.refused, reason: REASONS.overload, message: refusal }))
        frame.overs.push(offer.offer)
      })
      return
    }
    const job = this.options.dispatcher.submit(decodeOffer(offer, peer.originEntry), (end) => this.onEnd(peer, offer.offer, end))
    peer.jobs.set(offer.offer, job)
    events.hosted(peer.entryId, job, aliveMs)
    // A refused job is over before it could say so.
    if (this.options.dispatcher.find(job.key) === job) job.onTerminated = () => this.onTerminated(peer, offer.offer)
    else this.onTerminated(peer, offer.offer)
  }

  private findRefusal ({ originEntry: sponsor }: OriginPeer, { workspace, submission }: HandOnOffer, now: number): OfferRefusal | undefined {
    const { find, ownLoad: own, isStopping } = this.options
    if (find(submissionKey(workspace, submission)) !== undefined) return 'known'
    return findHostRefusal({ own: own(), isStopping: isStopping(), hosted: this.size, aliveAt: sponsor.aliveAt, now })
  }

  private onEnd ({ link }: OriginPeer, offer: number, end: LeasedJobEnd): void {
    link.add((frame) => frame.ends.push(encodeEnd(offer, end)))
  }

  private onTerminated ({ link, jobs }: OriginPeer, offer: number): void {
    jobs.delete(offer)
    link.add((frame) => frame.overs.push(offer))
  }

  private onOriginLost ({ entryId, jobs, originEntry: sponsor }: OriginPeer): void {
    const running = [...jobs.values()].filter(({ end }) => end === undefined)
    if (running.length === 0) return
    this.options.events.originEntryLost(entryId, Math.round(this.options.clock.now() - sponsor.aliveAt), running.length)
    for (const job of running) this.cancel(job, REASONS.handOnLost, 'the entry that keeps the caller fell silent')
  }

  private cancel (job: LeasedJob | undefined, reason: Reason, message: string): void {
    if (job !== undefined) this.options.dispatcher.cancel(job, reason, message)
  }
}

const encodeEnd = (offer: number, end: LeasedJobEnd): HandOnEnd => {
  switch (end.type) {
    case 'complete': return create(HandOnEndSchema, { offer, state: HAND_ON_ENDS.complete })
    case 'failed': return create(HandOnEndSchema, { offer, state: HAND_ON_ENDS.failed, reason: end.reason, message: end.message })
    case 'refused': return create(HandOnEndSchema, {
      offer, state: HAND_ON_ENDS.refused, reason: end.reason, message: end.message, retryAfterMs: end.retryAfterMs
    })
  }
}
