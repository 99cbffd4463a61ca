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

/** An entry that hands jobs on to this one (forwards them), as seen on one stream. */
export interface OriginPeer {
  readonly entryId: string
  readonly link: HandOnLink<HostFrame>
  /** When the entry is known to have been alive; shared with the jobs that it handed on. */
  readonly originEntry: OriginEntry
  /** Its jobs that are not confirmed terminated, by the number of their offer. */
  readonly jobs: Map<number, LeasedJob>
  /** When the last regular frame was sent to it, in ms on this process's clock. */
  sentAt: number
  /** When its last frame was received, in ms on this process's clock. */
  receivedAt: number
}

/** Why an offer was refused; `known`: this entry has a job with the same key. */
export type OfferRefusal = HostRefusal | 'known'

/** What `HostedJobs` depends on. */
export interface HostedJobsOptions {
  clock: Clock
  dispatcher: JobDispatcher
  fleet: LeasedFleet
  /** Finds a job by its key, whether it runs here or is handed on to another entry. */
  find: (key: string) => LeasedJob | undefined
  ownLoad: () => EntryLoadView
  isStopping: () => boolean
  events: {
    /** An offer was accepted, `silentMs` after the origin entry was last known to be alive. */
    hosted: (entryId: string, job: LeasedJob, silentMs: number) => void
    /** An offer was refused, `silentMs` after the origin entry was last known to be alive. */
    refused: (entryId: string, submission: string, reason: OfferRefusal, silentMs: number) => void
    /** An origin entry timed out, or its stream ended, while its jobs run here; they are cancelled. */
    originEntryLost: (entryId: string, silentMs: number, jobs: number) => void
  }
}

/**
 * Interval of regular frames to an origin entry. They show the origin entry that
 * this one is alive, and the echo of their timestamp shows this one that the
 * origin entry is alive. The time between two of them may be longer by the
 * interval of `sweep`.
 */
const FRAME_INTERVAL_MS = 50
/**
 * An origin entry that was last known to be alive this long ago has its jobs
 * here cancelled. While they run, echoes to their agents are limited; without
 * the cancellation the agents' entry leases, on which this entry's own tasks
 * depend as well, would expire.
 */
export const ORIGIN_TIMEOUT_MS = 300
/** A stream on which no frame was received for this long is closed. */
const STREAM_TIMEOUT_MS = 2000

/**
 * Jobs that other entries have handed on to this one (forwarded to it). This
 * entry owns their starts; the origin entries keep the callers and the answers.
 */
export class HostedJobs {
  private readonly peers = new Set<OriginPeer>()

  constructor (private readonly options: HostedJobsOptions) {}

  /** Number of hosted jobs that are not confirmed terminated. */
  get size (): number {
    let size = 0
    for (const { jobs } of this.peers) size += jobs.size
    return size
  }

  /** Registers an origin entry that has opened a stream. */
  open ({ entryId }: HandOnHello, link: HandOnLink<HostFrame>): OriginPeer {
    const peer: OriginPeer = { entryId, link, originEntry: { aliveAt: -Infinity }, jobs: new Map(), sentAt: -Infinity, receivedAt: this.options.clock.now() }
    this.peers.add(peer)
    this.options.fleet.echoLimits.addOrigin(peer.originEntry)
    link.add(() => {})
    return peer
  }

  /** Removes an origin entry whose stream has ended, and cancels its jobs, as nobody receives their answers. */
  closed (peer: OriginPeer): void {
    if (!this.peers.delete(peer)) return
    this.options.fleet.echoLimits.removeOrigin(peer.originEntry)
    this.onOriginLost(peer)
  }

  /** Handles a frame from an origin entry. */
  onFrame (peer: OriginPeer, { echoStampMs, offers, withdrawals }: CallerFrame): void {
    const now = this.options.clock.now()
    peer.receivedAt = now
    // A timestamp later than this process's clock was not sent by this process and proves nothing.
    if (echoStampMs > peer.originEntry.aliveAt && echoStampMs > 0 && echoStampMs <= now) peer.originEntry.aliveAt = echoStampMs
    for (const offer of offers) this.onOffer(peer, offer, now)
    for (const offer of withdrawals) this.cancel(peer.jobs.get(offer), REASONS.callerGone, 'the job was withdrawn')
  }

  /** Adds the present timestamp and load report to a frame that is about to be sent. */
  fillFrame ({ originEntry }: OriginPeer, frame: HostFrame): void {
    const { clock, fleet, ownLoad, isStopping } = this.options
    const now = clock.now()
    frame.stampMs = now
    frame.news = create(HandOnNewsSchema, {
      lagMs: ownLoad().lagMs,
      stopping: isStopping(),
      rooms: [...fleet.services.keys()].map((service) => ({ service, ...reportServiceLoad(fleet, service, now, originEntry) }))
    })
  }

  /** Applies timeouts and sends regular frames; to be called a few tens of times a second. */
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

  /** Cancels all hosted jobs; to be called when the grace time of the entry's stop is over. */
  cutAll (): void {
    for (const { jobs } of this.peers) for (const job of jobs.values()) this.cancel(job, REASONS.stopCut, 'the entry stopped before the job ended')
  }

  private onOffer (peer: OriginPeer, offer: HandOnOffer, now: number): void {
    const { events } = this.options
    const silentMs = Math.round(now - peer.originEntry.aliveAt)
    const refusal = this.findRefusal(peer, offer, now)
    if (refusal !== undefined) {
      events.refused(peer.entryId, offer.submission, refusal, silentMs)
      peer.link.add((frame) => {
        frame.ends.push(create(HandOnEndSchema, { offer: offer.offer, state: HAND_ON_ENDS.refused, reason: REASONS.overload, message: refusal }))
        frame.overs.push(offer.offer)
      })
      return
    }
    const job = this.options.dispatcher.submit(decodeOffer(offer, peer.originEntry), (end) => this.onEnd(peer, offer.offer, end))
    peer.jobs.set(offer.offer, job)
    events.hosted(peer.entryId, job, silentMs)
    // The dispatcher does not keep a job that it refuses, and never calls its termination handler.
    if (this.options.dispatcher.find(job.key) === job) job.onTerminated = () => this.onTerminated(peer, offer.offer)
    else this.onTerminated(peer, offer.offer)
  }

  private findRefusal ({ originEntry }: OriginPeer, { workspace, submission }: HandOnOffer, now: number): OfferRefusal | undefined {
    const { find, ownLoad, isStopping } = this.options
    if (find(submissionKey(workspace, submission)) !== undefined) return 'known'
    return findHostRefusal({ own: ownLoad(), isStopping: isStopping(), hosted: this.size, aliveAt: originEntry.aliveAt, now })
  }

  private onEnd ({ link }: OriginPeer, offer: number, end: LeasedJobEnd): void {
    link.add((frame) => frame.ends.push(encodeEnd(offer, end)))
  }

  private onTerminated ({ link, jobs }: OriginPeer, offer: number): void {
    jobs.delete(offer)
    link.add((frame) => frame.overs.push(offer))
  }

  private onOriginLost ({ entryId, jobs, originEntry }: OriginPeer): void {
    const running = [...jobs.values()].filter(({ end }) => end === undefined)
    if (running.length === 0) return
    this.options.events.originEntryLost(entryId, Math.round(this.options.clock.now() - originEntry.aliveAt), running.length)
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
