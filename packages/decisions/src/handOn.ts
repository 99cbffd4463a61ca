/**
 * Whether a job goes to another entry, and to which.
 *
 * Load: an entry on a weak processor, or with more callers than its part of the
 * endpoints can serve, beside entries with room. It is late with what it knows
 * of room and sends to room that is gone, which makes it later still; its
 * callers wait, or are refused, while others' endpoints are idle.
 *
 * Bounds: a share of arrivals and a number of jobs outstanding. Entries don't
 * pass work to and fro: an entry that runs short itself takes none, and a job
 * that was handed on is never handed on again.
 */

/** What an entry observes of itself. */
export interface EntryLoadView {
  /** How late its event loop is, in ms, smoothed. */
  readonly lagMs: number
  /** How long a job of the least priority that waits here will wait, in ms. */
  readonly waitMs: number
}

/** The same of an entry that may hand work on. */
export interface OriginView extends EntryLoadView {
  /** Part of its starts that came back lately, as the room it knew of was gone; from 0 to 1. */
  readonly returnedShare: number
}

/** What a neighbour told of itself. */
export interface NeighbourView {
  readonly zone: string
  /** When its news was read; on the clock of `now`. */
  readonly receivedAt: number
  /** It answers, and its news tells of the job's service. */
  readonly isOpen: boolean
  readonly isStopping: boolean
  readonly lagMs: number
  readonly waitMs: number
  /** Its part of the free room, in thousandths of a core. */
  readonly freeMilli: number
  /** What was handed to it since its news, in thousandths of a core. */
  readonly unreportedMilli: number
}

/** What the decision rests on. */
export interface HandOnView<Neighbour extends NeighbourView> {
  readonly now: number
  readonly zone: string
  /** The entry needs help, by `needsHelp`. */
  readonly isOverloaded: boolean
  readonly own: OriginView
  readonly neighbours: readonly Neighbour[]
  /** Jobs handed on and not ended. */
  readonly outstanding: number
  /** Part of the arrivals of the last moments that was handed on, from 0 to 1. */
  readonly share: number
}

/** Bounds that an operator may set. */
export interface HandOnLimits {
  readonly maxOutstanding: number
  /** From 0, which hands nothing on, to 1. */
  readonly maxShare: number
}

/** Why a job stays. */
export const KEEP_REASONS = {
  notOverloaded: 'not_short',
  outstanding: 'outstanding',
  share: 'share',
  /** Nobody's news is young enough. */
  noReport: 'no_news',
  /** Nobody has enough room more, or is that much less late. */
  noGain: 'no_gain'
} as const
export type KeepReason = typeof KEEP_REASONS[keyof typeof KEEP_REASONS]

/** Where a job goes. */
export type HandOnDecision<Neighbour> =
  | { type: 'keep', reason: KeepReason }
  | { type: 'hand_on', to: Neighbour, gainMs: number }

/** News that is older says nothing: room fills in that time. */
export const MAX_REPORT_AGE_MS = 200
/** A loop so late runs short; below the second figure it does no more, so that it does not come and go. */
const OVERLOAD_ENTER_LAG_MS = 8
const OVERLOAD_EXIT_LAG_MS = 4
/** The same for a job's wait. */
const OVERLOAD_ENTER_WAIT_MS = 30
const OVERLOAD_EXIT_WAIT_MS = 5
/** A late entry whose starts come back sends them to room that is gone; so many of them. */
const ENTER_RETURNED_SHARE = 0.08
const EXIT_RETURNED_SHARE = 0.03
/**
 * A loop so late has too little processor for its callers, whatever becomes of
 * its starts. Below it nothing is gained by lateness alone: request and answer
 * pass the same loop either way.
 */
const SATURATION_ENTER_LAG_MS = 30
const SATURATION_EXIT_LAG_MS = 20
/** Two ways between entries and what they cost both, within a zone and between zones. */
const SAME_ZONE_COST_MS = 6
const CROSS_ZONE_COST_MS = 12
/** Room that a neighbour keeps for its own callers, in needs of the whole job. */
const FREE_CAPACITY_FACTOR = 2

/**
 * Whether an entry runs short of time or room.
 *
 * @param own - what it observes
 * @param wasOverloaded - what was said last: it takes less to remain short than to get so
 */
export const isOverloaded = ({ lagMs, waitMs }: EntryLoadView, wasOverloaded: boolean): boolean =>
  wasOverloaded ? lagMs > OVERLOAD_EXIT_LAG_MS || waitMs > OVERLOAD_EXIT_WAIT_MS : lagMs > OVERLOAD_ENTER_LAG_MS || waitMs > OVERLOAD_ENTER_WAIT_MS

/**
 * Whether an entry should hand work on.
 *
 * @param own - what it observes
 * @param neededHelp - what was said last
 */
export const needsHelp = ({ lagMs, waitMs, returnedShare }: OriginView, neededHelp: boolean): boolean => {
  if (waitMs > (neededHelp ? OVERLOAD_EXIT_WAIT_MS : OVERLOAD_ENTER_WAIT_MS)) return true
  if (lagMs > (neededHelp ? SATURATION_EXIT_LAG_MS : SATURATION_ENTER_LAG_MS)) return true
  return lagMs > (neededHelp ? OVERLOAD_EXIT_LAG_MS : OVERLOAD_ENTER_LAG_MS) && returnedShare > (neededHelp ? EXIT_RETURNED_SHARE : ENTER_RETURNED_SHARE)
}

/** What a job is spared at its own entry: the wait, another pass of the loop each way if any of its starts comes back, and what a saturated loop adds. */
const savedMs = ({ lagMs, waitMs, returnedShare }: OriginView, count: number): number =>
  waitMs + 2 * lagMs * (1 - (1 - returnedShare) ** count) + Math.max(0, lagMs - SATURATION_ENTER_LAG_MS)

/** What it meets at the other one: offer and end pass its loop. */
const addedMs = ({ lagMs, waitMs, zone }: NeighbourView, ownZone: string): number =>
  2 * lagMs + waitMs + (zone === ownZone ? SAME_ZONE_COST_MS : CROSS_ZONE_COST_MS)

/** The job, as far as the decision goes. */
export interface HandOnJob {
  /** Its tasks. */
  readonly count: number
  /** What all of them use, in thousandths of a core. */
  readonly needMilli: number
}

const isFresh = ({ isOpen, isStopping, receivedAt: toldAt }: NeighbourView, now: number): boolean =>
  isOpen && !isStopping && now - toldAt <= MAX_REPORT_AGE_MS

/**
 * Hands a job on if the entry runs short, to the neighbour that gains most; to
 * one of the same zone where that is about as good.
 *
 * @param job - one that has just arrived
 * @param view - the entry and its neighbours
 * @param limits - bounds
 */
export const handOn = <Neighbour extends NeighbourView>(
  { count, needMilli }: HandOnJob, view: HandOnView<Neighbour>, { maxOutstanding, maxShare }: HandOnLimits
): HandOnDecision<Neighbour> => {
  if (!view.isOverloaded) return { type: 'keep', reason: KEEP_REASONS.notOverloaded }
  if (view.outstanding >= maxOutstanding) return { type: 'keep', reason: KEEP_REASONS.outstanding }
  if (view.share >= maxShare) return { type: 'keep', reason: KEEP_REASONS.share }
  const fresh = view.neighbours.filter((neighbour) => isFresh(neighbour, view.now))
  if (fresh.length === 0) return { type: 'keep', reason: KEEP_REASONS.noReport }
  let best: { to: Neighbour, gainMs: number } | undefined
  for (const to of fresh) {
    if (to.freeMilli - to.unreportedMilli < FREE_CAPACITY_FACTOR * needMilli || isOverloaded(to, false)) continue
    const gainMs = savedMs(view.own, count) - addedMs(to, view.zone)
    if (gainMs > (best?.gainMs ?? 0)) best = { to, gainMs }
  }
  return best === undefined ? { type: 'keep', reason: KEEP_REASONS.noGain } : { type: 'hand_on', ...best }
}

/** What an entry knows when another one hands it a job. */
export interface HostView {
  readonly own: EntryLoadView
  readonly isStopping: boolean
  /** Jobs of other entries that it has. */
  readonly hosted: number
  /** When the caller's entry was surely alive, on the clock of `now`. */
  readonly aliveAt: number
  readonly now: number
}

/** Jobs of others that an entry takes on at once. */
export const MAX_HOSTED = 128
/** An offer of an entry that has not been heard of for longer was held up; its start would find little authority left. */
export const MAX_OFFER_AGE_MS = 150

/** Why an entry takes no job of another one. */
export type HostRefusal = 'stopping' | 'short' | 'hosted' | 'stale'

/** Whether an entry takes another one's job on; admission follows. */
export const findHostRefusal = ({ own, isStopping, hosted, aliveAt, now }: HostView): HostRefusal | undefined => {
  if (isStopping) return 'stopping'
  if (now - aliveAt > MAX_OFFER_AGE_MS) return 'stale'
  if (hosted >= MAX_HOSTED) return 'hosted'
  return isOverloaded(own, false) ? 'short' : undefined
}
