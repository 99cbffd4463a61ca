import type { NeighbourView, EntryLoadView } from '@hazellift/decisions'
import type { CallerFrame, HandOnNews } from '@hazellift/protocol'
import type { LeasedJob } from '../leased/leasedJob.js'
import type { HandOnLink } from './types.js'

/** A neighbour as the decision sees it for one service. */
export interface PeerView extends NeighbourView {
  readonly peer: HandOnPeer
}

/** What was offered so lately may not be in its news yet. */
const UNSEEN_MS = 100

/** A neighbour that this entry may hand work to, on one stream. */
export class HandOnPeer {
  /** Offers that it has, by their number. */
  readonly out = new Map<number, LeasedJob>()
  isOpen = true
  /** The neighbour's clock, as it said last. */
  stampMs = 0
  /** When its last frame was read, on this process's clock. */
  heardAt: number
  /** When a frame left for it last. */
  echoedAt = -Infinity
  private news: HandOnNews | undefined
  private offers = 0
  private unseen: Array<{ at: number, milli: number }> = []

  constructor (readonly address: string, readonly zone: string, readonly link: HandOnLink<CallerFrame>, now: number) {
    this.heardAt = now
  }

  /** A frame was read. */
  onHeard (now: number, stampMs: number, news: HandOnNews | undefined): void {
    this.heardAt = now
    this.stampMs = Math.max(this.stampMs, stampMs)
    if (news !== undefined) this.news = news
  }

  /** Takes an offer down; its number. */
  add (job: LeasedJob, now: number): number {
    this.unseen.push({ at: now, milli: job.count * job.need.cpuMilli })
    this.out.set(++this.offers, job)
    return this.offers
  }

  /** The number under which it has the job. */
  offerOf (job: LeasedJob): number | undefined {
    for (const [offer, other] of this.out) if (other === job) return offer
    return undefined
  }

  /** What it told of itself, lately or not. */
  viewOf (service: string, now: number): PeerView {
    this.unseen = this.unseen.filter(({ at }) => now - at < UNSEEN_MS)
    const room = this.news?.rooms.find((other) => other.service === service)
    const own: EntryLoadView = { lagMs: this.news?.lagMs ?? 0, waitMs: room?.waitMs ?? 0 }
    return {
      peer: this,
      zone: this.zone,
      receivedAt: this.heardAt,
      isOpen: this.isOpen && room !== undefined,
      isStopping: this.news?.stopping ?? false,
      ...own,
      freeMilli: room?.freeMilli ?? 0,
      unreportedMilli: this.unseen.reduce((sum, { milli }) => sum + milli, 0)
    }
  }
}
