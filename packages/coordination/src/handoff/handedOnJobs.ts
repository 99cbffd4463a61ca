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

/** Why a job came back from the entry that it was handed to. */
export type ReturnReason = 'refused' | 'unfinished' | 'entry_lost'

/** What handing on tells its owner, for logs and metrics. */
export interface HandOnEvents {
  handedOn: (job: LeasedJob, to: PeerView, gainMs: number, newsMs: number, own: OriginView) => void
  notHandedOn: (reason: KeepReason) => void
  /** Its end was heard from the other entry, or its caller has gone. */
  ended: (job: LeasedJob, end: LeasedJobEnd) => void
  /** Nothing of it runs; it is placed here, or given up. */
  returned: (job: LeasedJob, reason: ReturnReason, isPlaced: boolean) => void
  peerLost: (address: string, silentMs: number, jobs: number) => void
}

/** What handing on needs. */
export interface HandedOnJobsOptions {
  clock: Clock
  zone: string
  times: LeaseTimes
  dispatcher: JobDispatcher
  ownLoad: () => OriginView
  limits: () => HandOnLimits
  events: HandOnEvents
}

/** A neighbour that was silent for so long is given up: its jobs are of no use by then, and its news is old. */
const PEER_TIMEOUT_MS = 400
/** The neighbour shows that it lives at a pace, and each time is answered; frames with ends between need no answer. */
const ECHO_INTERVAL_MS = 20
/** Longer payloads cost more bytes than a job gains. */
const MAX_PAYLOAD_CHARS = 8192
/** Ends that say nothing of the job itself: it may run again once nothing of it runs. */
const UNFINISHED_REASONS: ReadonlySet<string> = new Set([REASONS.stopCut, REASONS.callerGone, REASONS.handOnLost])

/** Its caller may send it again at once: nothing of it runs. */
const HAND_ON_LOST: LeasedJobEnd = { type: 'failed', reason: REASONS.handOnLost, message: 'the entry that it was handed to did not end it' }

/** A job whose neighbour was lost. */
interface TerminatingJob {
  job: LeasedJob
  terminatedAt: number
}

/**
 * Jobs of this entry's callers, dispatched here or handed to a neighbour. This
 * entry keeps the caller and the answer; the neighbour owns the starts.
 *
 * Invariant: a job that was handed on is dispatched here, or may be submitted
 * again, only after the neighbour said that nothing of it runs, or
 * `provedOverMs` after the last frame read from it. Nothing read later is
 * echoed, and the neighbour's agents act on echoes alone.
 */
export class HandedOnJobs implements JobDispatcher {
  private readonly peers = new Set<HandOnPeer>()
  /** Handed on and not proved over, by key. */
  private readonly jobs = new Map<string, LeasedJob>()
  private readonly terminating = new Set<TerminatingJob>()
  /** Jobs that came back, as they are dispatched here. */
  private readonly localJobs = new Map<LeasedJob, LeasedJob>()
  private readonly handedOnShare = new HandedOnShare()
  private readonly overloadWatch = new OverloadWatch()

  constructor (private readonly options: HandedOnJobsOptions) {}

  /** Jobs that neighbours have, or may have. */
  get outstanding (): number {
    return this.jobs.size
  }

  /** True while streams to neighbours are called for. */
  get needsStreams (): boolean {
    return this.options.limits().maxShare > 0 && this.overloadWatch.needsStreams(this.options.clock.now())
  }

  /** How long a task of such a job takes, as learned. */
  expectedMs = (spec: Pick<LeasedJobSpec, 'kind' | 'estimateMs'>): number => this.options.dispatcher.expectedMs(spec)

  submit (spec: LeasedJobSpec, onEnd: (end: LeasedJobEnd) => void): LeasedJob {
    const { clock, dispatcher } = this.options
    const now = clock.now()
    const to = this.peers.size === 0 ? undefined : this.choose(spec, now)
    this.handedOnShare.onArrival(to !== undefined, now)
    if (to === undefined) return dispatcher.submit(spec, onEnd)
    const job = createLeasedJob(spec, now, this.expectedMs(spec), onEnd)
    this.overloadWatch.onHandedOn(now)
    Object.assign(job, { queue: [], unterminatedRuns: 1, mayHaveRun: job.count })
    this.jobs.set(job.key, job)
    const offer = encodeOffer(to.addOffer(job, now), spec)
    to.link.add((frame) => frame.offers.push(offer))
    return job
  }

  /** The job under this key, also if only its last orders are not over. */
  find (key: string): LeasedJob | undefined {
    return this.jobs.get(key) ?? this.options.dispatcher.find(key)
  }

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

  /** Looks at what time has changed; to be called a few tens of times a second. */
  sweep (now: number): void {
    if (this.options.limits().maxShare > 0) this.overloadWatch.observe(this.options.ownLoad(), now)
    for (const peer of [...this.peers]) if (now - peer.receivedAt > PEER_TIMEOUT_MS) this.closed(peer)
    for (const job of [...this.jobs.values()]) {
      if (now >= job.deadlineAt) this.cancel(job, REASONS.deadline, 'the caller\'s deadline has passed')
    }
    for (const lost of [...this.terminating]) {
      if (now <= lost.terminatedAt) continue
      this.terminating.delete(lost)
      this.reclaim(lost.job, 'entry_lost')
    }
  }

  /** A stream with a neighbour stands. */
  open (address: string, zone: string, link: HandOnLink<CallerFrame>): HandOnPeer {
    const peer = new HandOnPeer(address, zone, link, this.options.clock.now())
    this.peers.add(peer)
    return peer
  }

  /** The stream is over, or the neighbour was silent for too long: nothing it sends counts any more. */
  closed (peer: HandOnPeer): void {
    if (!this.peers.delete(peer)) return
    peer.isOpen = false
    peer.link.close()
    if (peer.offeredJobs.size === 0) return
    const { times, events, clock } = this.options
    events.peerLost(peer.address, Math.round(clock.now() - peer.receivedAt), peer.offeredJobs.size)
    for (const job of peer.offeredJobs.values()) this.terminating.add({ job, terminatedAt: peer.receivedAt + terminationBoundMs(times) })
  }

  onFrame (peer: HandOnPeer, { stampMs, ends, overs, news }: HostFrame): void {
    if (!peer.isOpen) return
    const now = this.options.clock.now()
    peer.onReceived(now, stampMs, news)
    if (now - peer.echoedAt >= ECHO_INTERVAL_MS) peer.link.add(() => {})
    for (const end of ends) this.onEnd(peer, end)
    for (const offer of overs) this.onTerminated(peer, offer)
  }

  /** Fills in what every frame carries. */
  fillFrame (peer: HandOnPeer, frame: CallerFrame): void {
    frame.echoStampMs = peer.stampMs
    peer.echoedAt = this.options.clock.now()
  }

  private choose (spec: LeasedJobSpec, now: number): HandOnPeer | undefined {
    if (spec.payload.length > MAX_PAYLOAD_CHARS || this.jobs.has(submissionKey(spec.workspace, spec.id))) return undefined
    const { zone, ownLoad: own, limits, events } = this.options
    const decision = handOn({ count: spec.count, needMilli: spec.count * spec.need.cpuMilli }, {
      now,
      zone,
      isOverloaded: this.overloadWatch.isOverloaded(now),
      own: own(),
      neighbours: [...this.peers].map((peer) => peer.viewOf(spec.service, now)),
      outstanding: this.jobs.size,
      share: this.handedOnShare.read(now)
    }, limits())
    if (decision.type === 'keep') {
      events.notHandedOn(decision.reason)
      return undefined
    }
    events.handedOn(createLeasedJob(spec, now, this.expectedMs(spec), () => {}), decision.to, decision.gainMs, Math.round(now - decision.to.receivedAt), own())
    return decision.to.peer
  }

  private onEnd ({ offeredJobs: out }: HandOnPeer, { offer, state, reason, message }: HandOnEnd): void {
    const job = out.get(offer)
    if (job === undefined || job.end !== undefined) return
    if (state === HAND_ON_ENDS.complete) this.finish(job, { type: 'complete' })
    else if (state === HAND_ON_ENDS.failed && !UNFINISHED_REASONS.has(reason)) this.finish(job, { type: 'failed', reason: reason as Reason, message })
    else if (state === HAND_ON_ENDS.refused) job.mayHaveRun = 0
  }

  private onTerminated ({ offeredJobs: out }: HandOnPeer, offer: number): void {
    const job = out.get(offer)
    out.delete(offer)
    if (job !== undefined) this.reclaim(job, job.mayHaveRun === 0 ? 'refused' : 'unfinished')
  }

  /** Nothing of it runs at the neighbour any more, and nothing ever will. */
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
    const isUntouched = reason === 'refused'
    // Nobody may have it under its key, and what has run is not begun anew for an answer of no use.
    const isPlaced = dispatcher.find(job.key) === undefined && (isUntouched || now + job.expectedMs < job.expiresAt)
    events.returned(job, reason, isPlaced)
    if (!isPlaced) return this.finish(job, HAND_ON_LOST)
    const inner = dispatcher.submit(remainingSpec(job, now - job.arrivedAt), (end) => {
      this.localJobs.delete(job)
      // A refusal says that nothing was started.
      job.end = end.type === 'refused' && !isUntouched ? HAND_ON_LOST : end
      job.onEnd(job.end)
    })
    if (inner.end === undefined) this.localJobs.set(job, inner)
  }

  private finish (job: LeasedJob, end: LeasedJobEnd): void {
    job.end = end
    this.options.events.ended(job, end)
    job.onEnd(end)
  }
}
