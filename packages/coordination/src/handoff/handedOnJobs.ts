import type { Clock } from '@hazellift/common'
import { handOn } from '@hazellift/decisions'
import type { OriginView, HandOnLimits, KeepReason } from '@hazellift/decisions'
import { HAND_ON_ENDS, REASONS } from '@hazellift/protocol'
import type { CallerFrame, HandOnEnd, HostFrame, Reason } from '@hazellift/protocol'
import { createLeasedJob } from '../leased/leasedJob.js'
import type { LeasedJob, LeasedJobEnd, LeasedJobSpec } from '../leased/leasedJob.js'
import { terminationBoundMs } from '../leased/times.js'
import type { LeaseTimes } from '../leased/times.js'
import { submissionKey } from '../tasks/keys.js'
import { HandedOnShare } from './handedOnShare.js'
import { HandOnPeer } from './handOnPeer.js'
import type { PeerView } from './handOnPeer.js'
import { encodeOffer, remainingSpec } from './offers.js'
import { OverloadWatch } from './overloadWatch.js'
import type { HandOnLink, JobDispatcher } from './types.js'

/**
 * Why a job that was handed on (forwarded to another entry) was returned to this
 * one: its host refused it and started nothing, ended it without a result, or
 * was lost.
 */
export type ReturnReason = 'refused' | 'unfinished' | 'entry_lost'

/** Notifications for logs and metrics. */
export interface HandOnEvents {
  /** A job was handed on, for an expected gain, by a load report of this age. */
  handedOn: (job: LeasedJob, to: PeerView, gainMs: number, reportAgeMs: number, ownLoad: OriginView) => void
  /** The decision was to keep a job at this entry. */
  notHandedOn: (reason: KeepReason) => void
  /** A job ended while it was handed on: the neighbour reported the end, or this entry cancelled or failed the job. */
  ended: (job: LeasedJob, end: LeasedJobEnd) => void
  /** A job that has not ended was returned, confirmed terminated; it is placed here, or fails. */
  returned: (job: LeasedJob, reason: ReturnReason, isPlaced: boolean) => void
  /** A neighbour to which jobs are handed on was lost. */
  peerLost: (address: string, silentMs: number, jobs: number) => void
}

/** What `HandedOnJobs` depends on. */
export interface HandedOnJobsOptions {
  clock: Clock
  zone: string
  times: LeaseTimes
  /** Runs the jobs that stay at this entry. */
  dispatcher: JobDispatcher
  ownLoad: () => OriginView
  limits: () => HandOnLimits
  events: HandOnEvents
}

/** A neighbour from which nothing was received for this long counts as lost: answers to its jobs would be too late, and its load report is out of date. */
const PEER_TIMEOUT_MS = 400
/** Shortest time between two echoes to a neighbour. Its regular frames are all echoed; those in between that report ends need no echo. */
const ECHO_INTERVAL_MS = 20
/** Jobs with longer payloads are not handed on: sending the payload costs more than is gained. */
const MAX_PAYLOAD_CHARS = 8192
/** Reasons for which the host ends a job without a result of its own: the job may run again once it is confirmed terminated. */
const UNFINISHED_REASONS: ReadonlySet<string> = new Set([REASONS.stopCut, REASONS.callerGone, REASONS.handOnLost])

/** The end of a job that its caller may send again at once, as nothing of it runs. */
const HAND_ON_LOST: LeasedJobEnd = { type: 'failed', reason: REASONS.handOnLost, message: 'the entry that it was handed to did not end it' }

/** A job whose neighbour was lost; nothing of it runs after `terminatedAt`. */
interface TerminatingJob {
  job: LeasedJob
  terminatedAt: number
}

/**
 * Jobs of this entry's callers, dispatched here or handed on to a neighbour
 * (forwarded to another entry). This entry keeps the caller and the answer; the
 * neighbour, the job's host, owns its starts.
 *
 * Invariant: a job that was handed on is dispatched here, or may be submitted
 * again, only after the host has reported that nothing of it runs, or once the
 * termination bound of the leases has passed since the last frame received from
 * the host. Frames that arrive later are not echoed, and the host's agents run
 * the job only as long as echoes renew their entry leases.
 */
export class HandedOnJobs implements JobDispatcher {
  private readonly peers = new Set<HandOnPeer>()
  /** Jobs that are handed on and not confirmed terminated, by key. */
  private readonly jobs = new Map<string, LeasedJob>()
  private readonly terminating = new Set<TerminatingJob>()
  /** Returned jobs that this entry runs, each with the dispatcher's own job for it. */
  private readonly localJobs = new Map<LeasedJob, LeasedJob>()
  private readonly handedOnShare = new HandedOnShare()
  private readonly overloadWatch = new OverloadWatch()

  constructor (private readonly options: HandedOnJobsOptions) {}

  /** Number of jobs that are handed on and not confirmed terminated. */
  get outstanding (): number {
    return this.jobs.size
  }

  /** True while streams to neighbours should be open. */
  get needsStreams (): boolean {
    return this.options.limits().maxShare > 0 && this.overloadWatch.needsStreams(this.options.clock.now())
  }

  /** Run time of one task of such a job, in ms, as learned from earlier runs. */
  expectedMs = (spec: Pick<LeasedJobSpec, 'kind' | 'estimateMs'>): number => this.options.dispatcher.expectedMs(spec)

  /**
   * Hands a job on or dispatches it here. No job with its key may be known to `find`.
   *
   * @param onEnd - called once when the job ends
   */
  submit (spec: LeasedJobSpec, onEnd: (end: LeasedJobEnd) => void): LeasedJob {
    const { clock, dispatcher } = this.options
    const now = clock.now()
    const peer = this.peers.size === 0 ? undefined : this.choosePeer(spec, now)
    this.handedOnShare.onArrival(peer !== undefined, now)
    if (peer === undefined) return dispatcher.submit(spec, onEnd)
    const job = createLeasedJob(spec, now, this.expectedMs(spec), onEnd)
    this.overloadWatch.onHandedOn(now)
    // The host owns the runs: together they count as one that is not terminated, and any task may have run.
    Object.assign(job, { queue: [], unterminatedRuns: 1, mayHaveRun: job.count })
    this.jobs.set(job.key, job)
    const offer = encodeOffer(peer.addOffer(job, now), spec)
    peer.link.add((frame) => frame.offers.push(offer))
    return job
  }

  /** The job under this key, including one that has ended but is not confirmed terminated. */
  find (key: string): LeasedJob | undefined {
    return this.jobs.get(key) ?? this.options.dispatcher.find(key)
  }

  /** Ends a job early, wherever it is; a job that has ended stays as it is. */
  cancel (job: LeasedJob, reason: Reason, message: string): void {
    const { dispatcher } = this.options
    if (this.jobs.get(job.key) !== job) return dispatcher.cancel(this.localJobs.get(job) ?? job, reason, message)
    if (job.end !== undefined) return
    for (const peer of this.peers) {
      const offer = peer.offerOf(job)
      if (offer !== undefined) peer.link.add((frame) => frame.withdrawals.push(offer))
    }
    this.finish(job, { type: 'failed', reason, message })
  }

  /** Observes the load and applies timeouts and deadlines; to be called a few tens of times a second. */
  sweep (now: number): void {
    if (this.options.limits().maxShare > 0) this.overloadWatch.observe(this.options.ownLoad(), now)
    for (const peer of [...this.peers]) if (now - peer.receivedAt > PEER_TIMEOUT_MS) this.closed(peer)
    for (const job of [...this.jobs.values()]) {
      if (now >= job.deadlineAt) this.cancel(job, REASONS.deadline, 'the caller\'s deadline has passed')
    }
    for (const terminating of [...this.terminating]) {
      if (now <= terminating.terminatedAt) continue
      this.terminating.delete(terminating)
      this.reclaim(terminating.job, 'entry_lost')
    }
  }

  /** Registers a neighbour whose stream is open. */
  open (address: string, zone: string, link: HandOnLink<CallerFrame>): HandOnPeer {
    const peer = new HandOnPeer(address, zone, link, this.options.clock.now())
    this.peers.add(peer)
    return peer
  }

  /** Removes a neighbour whose stream has ended or that timed out: frames that it sends later are ignored. */
  closed (peer: HandOnPeer): void {
    if (!this.peers.delete(peer)) return
    peer.isOpen = false
    peer.link.close()
    if (peer.offeredJobs.size === 0) return
    const { times, events, clock } = this.options
    events.peerLost(peer.address, Math.round(clock.now() - peer.receivedAt), peer.offeredJobs.size)
    for (const job of peer.offeredJobs.values()) this.terminating.add({ job, terminatedAt: peer.receivedAt + terminationBoundMs(times) })
  }

  /** Handles a frame from a neighbour. */
  onFrame (peer: HandOnPeer, { stampMs, ends, overs, news }: HostFrame): void {
    if (!peer.isOpen) return
    const now = this.options.clock.now()
    peer.onReceived(now, stampMs, news)
    if (now - peer.echoedAt >= ECHO_INTERVAL_MS) peer.link.add(() => {})
    for (const end of ends) this.onEnd(peer, end)
    for (const offer of overs) this.onTerminated(peer, offer)
  }

  /** Adds the echoed timestamp to a frame that is about to be sent. */
  fillFrame (peer: HandOnPeer, frame: CallerFrame): void {
    frame.echoStampMs = peer.stampMs
    peer.echoedAt = this.options.clock.now()
  }

  private choosePeer (spec: LeasedJobSpec, now: number): HandOnPeer | undefined {
    if (spec.payload.length > MAX_PAYLOAD_CHARS || this.jobs.has(submissionKey(spec.workspace, spec.id))) return undefined
    const { zone, ownLoad, limits, events } = this.options
    const decision = handOn({ count: spec.count, needMilli: spec.count * spec.need.cpuMilli }, {
      now,
      zone,
      isOverloaded: this.overloadWatch.isOverloaded(now),
      own: ownLoad(),
      neighbours: [...this.peers].map((peer) => peer.viewOf(spec.service, now)),
      outstanding: this.jobs.size,
      share: this.handedOnShare.read(now)
    }, limits())
    if (decision.type === 'keep') {
      events.notHandedOn(decision.reason)
      return undefined
    }
    events.handedOn(createLeasedJob(spec, now, this.expectedMs(spec), () => {}), decision.to, decision.gainMs, Math.round(now - decision.to.receivedAt), ownLoad())
    return decision.to.peer
  }

  private onEnd ({ offeredJobs }: HandOnPeer, { offer, state, reason, message }: HandOnEnd): void {
    const job = offeredJobs.get(offer)
    if (job === undefined || job.end !== undefined) return
    if (state === HAND_ON_ENDS.complete) this.finish(job, { type: 'complete' })
    else if (state === HAND_ON_ENDS.failed && !UNFINISHED_REASONS.has(reason)) this.finish(job, { type: 'failed', reason: reason as Reason, message })
    else if (state === HAND_ON_ENDS.refused) job.mayHaveRun = 0
  }

  private onTerminated ({ offeredJobs }: HandOnPeer, offer: number): void {
    const job = offeredJobs.get(offer)
    offeredJobs.delete(offer)
    if (job !== undefined) this.reclaim(job, job.mayHaveRun === 0 ? 'refused' : 'unfinished')
  }

  /** Takes back a job that is confirmed terminated at the neighbour. */
  private reclaim (job: LeasedJob, reason: ReturnReason): void {
    this.jobs.delete(job.key)
    job.unterminatedRuns = 0
    if (job.end === undefined) this.placeLocally(job, reason)
    job.onTerminated?.()
    job.onTerminated = undefined
  }

  private placeLocally (job: LeasedJob, reason: ReturnReason): void {
    const { clock, dispatcher, events } = this.options
    const now = clock.now()
    const isNotStarted = reason === 'refused'
    // Its key must be free here, and a job that may have run is not run again for an answer after its expiry.
    const isPlaced = dispatcher.find(job.key) === undefined && (isNotStarted || now + job.expectedMs < job.expiresAt)
    events.returned(job, reason, isPlaced)
    if (!isPlaced) return this.finish(job, HAND_ON_LOST)
    const localJob = dispatcher.submit(remainingSpec(job, now - job.arrivedAt), (end) => {
      this.localJobs.delete(job)
      // A refusal would tell the caller that nothing was started, but tasks may have run at the neighbour.
      job.end = end.type === 'refused' && !isNotStarted ? HAND_ON_LOST : end
      job.onEnd(job.end)
    })
    if (localJob.end === undefined) this.localJobs.set(job, localJob)
  }

  private finish (job: LeasedJob, end: LeasedJobEnd): void {
    job.end = end
    this.options.events.ended(job, end)
    job.onEnd(end)
  }
}
