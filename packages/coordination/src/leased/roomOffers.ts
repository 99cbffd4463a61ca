import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { isScarce, offerCapacity, CAPACITY_OFFER_MS } from '@hazellift/decisions'
import type { OfferCapacity, Resources, EntryDemand } from '@hazellift/decisions'
import { RoomSchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import type { LeasedSession } from './hostSessions.js'
import { RoomTurns } from './roomTurns.js'

/** What telling of room needs. */
export interface RoomOffersOptions {
  clock: Clock
  /** By the entry's incarnation. */
  sessions: ReadonlyMap<string, LeasedSession>
  /** What can be started now. */
  room: () => Resources
  /** The whole. */
  capacity: () => Resources
  /** Decides in place of the product's rule, for measurements. */
  offer?: OfferCapacity
}

/** Tells entries of the room at an endpoint: all of them while there is much, one at a time when it is scarce. */
export class RoomOffers {
  private readonly turns: RoomTurns

  constructor (private readonly options: RoomOffersOptions) {
    this.turns = new RoomTurns(options.clock.now, options.offer ?? offerCapacity)
  }

  /** Adds the room to a frame, if the entry does not know it. */
  stamp (incarnation: string, frame: AgentFrame): void {
    const session = this.options.sessions.get(incarnation)
    if (session === undefined) return
    const room = this.roomFor(incarnation)
    const isTold = room.cpuMilli === session.told.cpuMilli && room.memoryMb === session.told.memoryMb &&
      session.startsSeen === session.toldStartsSeen
    if (isTold) return
    session.told = room
    session.toldStartsSeen = session.startsSeen
    frame.room = create(RoomSchema, { ...room, startsSeen: session.startsSeen })
  }

  /** The entry has sent starts. */
  onStarts (incarnation: string): void {
    this.turns.served(incarnation)
    this.tellScarcity()
  }

  /** The session has ended. */
  forget (incarnation: string): void {
    this.turns.forget(incarnation)
  }

  /** Tells the entry whose turn it is of free room; if it does not use it, the next one, until each was told. */
  offerRoom (): void {
    const wanting = this.wanting
    if (wanting.length === 0 || this.options.room().cpuMilli === 0) return
    this.offerTo(this.turns.holderOf(wanting)!, wanting.length - 1)
  }

  private roomFor (incarnation: string): Resources {
    const free = this.options.room()
    const isOffered = this.turns.isOffered(incarnation, free, this.options.capacity(), this.wanting)
    return isOffered ? free : { cpuMilli: 0, memoryMb: 0 }
  }

  private get wanting (): EntryDemand[] {
    const wanting: EntryDemand[] = []
    for (const [incarnation, { wantingPriority }] of this.options.sessions) {
      if (wantingPriority === undefined) continue
      wanting.push({ incarnation, priority: wantingPriority, servedAt: this.turns.serveOf(incarnation) })
    }
    return wanting
  }

  /**
   * Entries that were told of much room, and would send for it, hear at once
   * when it is nearly used up. Left to the next keep-alive, three of ten starts
   * of ten entries at 62 agents arrived in vain.
   */
  private tellScarcity (): void {
    const capacity = this.options.capacity()
    if (!isScarce(this.options.room(), capacity)) return
    for (const { told, add } of this.options.sessions.values()) if (!isScarce(told, capacity)) add(() => {})
  }

  private offerTo (holder: string, others: number): void {
    const { sessions, clock } = this.options
    sessions.get(holder)?.add(() => {})
    if (others > 0) clock.after(CAPACITY_OFFER_MS, () => this.passOn(holder, others))
  }

  private passOn (holder: string, others: number): void {
    if (this.turns.holderOf(this.wanting) !== holder) return
    this.turns.served(holder)
    const next = this.turns.holderOf(this.wanting)
    if (next !== undefined && this.options.room().cpuMilli > 0) this.offerTo(next, others - 1)
  }
}
