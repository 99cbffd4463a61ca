import type { NeighbourView, EntryLoadView } from '@hazellift/decisions'
import type { CallerFrame, HandOnNews } from '@hazellift/protocol'
import type { LeasedJob } from '../leased/leasedJob.js'
import type { HandOnLink } from './types.js'

/** A neighbour as the decision sees it for one service. */
export interface PeerView extends NeighbourView {
  readonly peer: HandOnPeer
}

/** What was offered so lately may not be in its news yet. */
const REPORT_DELAY_MS = 100

/** A neighbour that this entry may hand work to, on one stream. */
export class HandOnPeer {
  /** Offers that it has, by their number. */
  readonly offeredJobs = new Map<number, LeasedJob>()
  isOpen = true
  /** The neighbour's clock, as it said last. */
  stampMs = 0
  /** When its last frame was read, on this process's clock. */
  receivedAt: number
  /** When a frame left for it last. */
  echoedAt = -Infinity
  private loadReport: HandOnNews | undefined
  private offerCount = 0
  private recentOffers: Array<{ at: number, milli: number }> = []

  constructor (readonly address: string, readonly zone: string, readonly link: HandOnLink<CallerFrame>, now: number) {
    this.receivedAt = now
  }

  /** A frame was read. */
  onReceived (now: number, stampMs: number, loadReport: HandOnNews | undefined): void {
    this.receivedAt = now
    this.stampMs = Math.max(this.stampMs, stampMs)
    if (loadReport !== undefined) this.loadReport = loadReport
  }

  /** Takes an offer down; its number. */
  addOffer (job: LeasedJob, now: number): number {
    this.recentOffers.push({ at: now, milli: job.count * job.need.cpuMilli })
    this.offeredJobs.set(++this.offerCount, job)
    return this.offerCount
  }

  /** The number under which it has the job. */
  offerOf (job: LeasedJob): number | undefined {
    for (const [offer, other] of this.offeredJobs) if (other === job) return offer
    return undefined
  }

  /** What it told of itself, lately or not. */
  viewOf (service: string, now: number): PeerView {
    this.recentOffers = this.recentOffers.filter(({ at }) => now - at < REPORT_DELAY_MS)
    const room = this.loadReport?.rooms.find((other) => other.service === service)
    const own: EntryLoadView = { lagMs: this.loadReport?.lagMs ?? 0, waitMs: room?.waitMs ?? 0 }
    return {
      peer: this,
      zone: this.zone,
      receivedAt: this.receivedAt,
      isOpen: this.isOpen && room !== undefined,
      isStopping: this.loadReport?.stopping ?? false,
      ...own,
      freeMilli: room?.freeMilli ?? 0,
      unreportedMilli: this.recentOffers.reduce((sum, { milli }) => sum + milli, 0)
    }
  }
}
