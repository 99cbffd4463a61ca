/**
 * Which entry is told of scarce room at an endpoint.
 *
 * Load: all endpoints nearly full, and tasks wait at several entries. Offered to
 * all of them at once, scarce room would be sent for several times, and all but
 * the first start would have waited in vain: two of three starts did.
 */
import type { Resources } from './types.js'

/** An entry with tasks that wait for room. */
export interface EntryDemand {
  readonly incarnation: string
  /** Of the first task that waits; 0 goes first. */
  readonly priority: number
  /** Rises with each time that an entry was served here; 0 for never. */
  readonly servedAt: number
}

/** Whose turn it is. */
export interface CurrentOffer {
  readonly holder: string | undefined
  /** When the room was offered to it, in ms. */
  readonly offeredAt: number
}

/** How long free room is kept for the entry that was offered it: a round trip between zones, and some. */
export const CAPACITY_OFFER_MS = 12
/** Below this share of the capacity, free room is offered to one entry at a time. */
const SCARCE_SHARE = 0.25

/** True if so little of an endpoint's room is free that entries would send for it several times. */
export const isScarce = (free: Resources, capacity: Resources): boolean =>
  free.cpuMilli < capacity.cpuMilli * SCARCE_SHARE

/** Chooses the entry that free room is offered to. */
export type OfferCapacity = (wanting: readonly EntryDemand[], turn: CurrentOffer, now: number) => string | undefined

/**
 * The entry whose turn it is keeps it for a moment; then by priority, then who
 * was served longest ago.
 *
 * @param demands - entries with tasks that wait
 * @param turn - whose turn it was
 * @param now - in ms, on the clock of the turn
 * @returns the incarnation of an entry, or nothing if none wants room
 */
export const offerCapacity: OfferCapacity = (demands, { holder, offeredAt }, now) => {
  const isStillOffered = now - offeredAt < CAPACITY_OFFER_MS && demands.some(({ incarnation }) => incarnation === holder)
  if (isStillOffered) return holder
  return [...demands].sort((a, b) => a.priority - b.priority || a.servedAt - b.servedAt)[0]?.incarnation
}
