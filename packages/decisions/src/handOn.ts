/**
 * Decides whether a job is handed on (forwarded to another entry that hosts it),
 * and to which entry.
 *
 * An entry on a weak processor, or with more callers than its share of the
 * endpoints can serve, may be next to entries with free capacity. An overloaded
 * entry knows of free capacity too late and sends starts for capacity that is
 * gone, which loads it further: its callers wait or are refused while other
 * entries' endpoints are idle.
 *
 * Limits bound the share of arrivals that is handed on and the number of jobs
 * handed on at a time. Jobs do not bounce between entries: an overloaded entry
 * accepts none, and a job that was handed on is never handed on again.
 */

/** Load that an entry observes of itself. */
export interface EntryLoadView {
  /** Smoothed delay of its event loop, in ms. */
  readonly lagMs: number
  /** How long a job of the lowest priority waiting there will wait, in ms. */
  readonly waitMs: number
}

/** Load of the origin entry: the one that took the job from its caller and may hand it on. */
export interface OriginView extends EntryLoadView {
  /** Share of its recent starts that were returned because the capacity was gone, from 0 to 1. */
  readonly returnedShare: number
}

/** Another entry to which jobs may be handed on, according to its last load report. */
export interface NeighbourView {
  readonly zone: string
  /** When the report was received, in ms on the clock of `HandOnView.now`. */
  readonly receivedAt: number
  /** The stream to it is open, and its report covers the job's service. */
  readonly isOpen: boolean
  readonly isStopping: boolean
  /** As in `EntryLoadView`. */
  readonly lagMs: number
  /** Forecast wait for the job's service, in ms. */
  readonly waitMs: number
  /** Its share of the free capacity, in thousandths of a core. */
  readonly freeMilli: number
  /** Work handed to it that its report may not include yet, in thousandths of a core. */
  readonly unreportedMilli: number
}

/** State of the origin entry and its neighbours when a job arrives. */
export interface HandOnView<Neighbour extends NeighbourView> {
  /** In ms. */
  readonly now: number
  /** Availability zone of the origin entry. */
  readonly zone: string
  /** True if the origin entry has needed help, by `needsHelp`, for some time. */
  readonly isOverloaded: boolean
  readonly own: OriginView
  readonly neighbours: readonly Neighbour[]
  /** Jobs that are handed on and have not ended. */
  readonly outstanding: number
  /** Share of recent arrivals that was handed on, from 0 to 1. */
  readonly share: number
}

/** Limits that an operator may set. */
export interface HandOnLimits {
  /** Jobs handed on at a time. */
  readonly maxOutstanding: number
  /** Share of arrivals that may be handed on, from 0 (none) to 1. */
  readonly maxShare: number
}

/** Why a job is not handed on. */
export const KEEP_REASONS = {
  notOverloaded: 'not_short',
  /** `HandOnLimits.maxOutstanding` jobs are handed on. */
  outstanding: 'outstanding',
  /** `HandOnLimits.maxShare` of recent arrivals was handed on. */
  share: 'share',
  /** No neighbour's load report is recent enough. */
  noReport: 'no_news',
  /** No neighbour has enough free capacity and is faster by more than the cost of handing on. */
  noGain: 'no_gain'
} as const
export type KeepReason = typeof KEEP_REASONS[keyof typeof KEEP_REASONS]

/** Whether a job is kept or handed on; `gainMs` is the response time expected to be saved. */
export type HandOnDecision<Neighbour> =
  | { type: 'keep', reason: KeepReason }
  | { type: 'hand_on', to: Neighbour, gainMs: number }

/** Older load reports are ignored: free capacity is used up in that time. */
export const MAX_REPORT_AGE_MS = 200
/** An entry becomes overloaded above the first figure and stays so down to the second, so that the state does not flap. */
const OVERLOAD_ENTER_LAG_MS = 8
const OVERLOAD_EXIT_LAG_MS = 4
/** The same for the wait of its jobs. */
const OVERLOAD_ENTER_WAIT_MS = 30
const OVERLOAD_EXIT_WAIT_MS = 5
/** A late entry with more returned starts than this sends starts for capacity that is gone; the second figure ends the state. */
const ENTER_RETURNED_SHARE = 0.08
const EXIT_RETURNED_SHARE = 0.03
/**
 * Above this lag an entry has too little processor time for its callers, even if
 * no starts are returned. Below it, handing on gains nothing from the lag alone,
 * as request and answer pass the same event loop either way. The second figure
 * ends the state.
 */
const SATURATION_ENTER_LAG_MS = 30
const SATURATION_EXIT_LAG_MS = 20
/** Cost of two trips between entries, including the work at both ends, within a zone and between zones. */
const SAME_ZONE_COST_MS = 6
const CROSS_ZONE_COST_MS = 12
/** A neighbour must have this many times the job's need free, to keep capacity for its own callers. */
const FREE_CAPACITY_FACTOR = 2

/**
 * True if an entry is short of processor time or capacity.
 *
 * @param load - the entry's load
 * @param wasOverloaded - the previous result: the state ends at lower values than it begins
 */
export const isOverloaded = ({ lagMs, waitMs }: EntryLoadView, wasOverloaded: boolean): boolean =>
  wasOverloaded ? lagMs > OVERLOAD_EXIT_LAG_MS || waitMs > OVERLOAD_EXIT_WAIT_MS : lagMs > OVERLOAD_ENTER_LAG_MS || waitMs > OVERLOAD_ENTER_WAIT_MS

/**
 * True if an entry should hand jobs on. Unlike `isOverloaded`, a lag below
 * saturation counts only if starts are returned.
 *
 * @param own - the entry's load
 * @param neededHelp - the previous result: the state ends at lower values than it begins
 */
export const needsHelp = ({ lagMs, waitMs, returnedShare }: OriginView, neededHelp: boolean): boolean => {
  if (waitMs > (neededHelp ? OVERLOAD_EXIT_WAIT_MS : OVERLOAD_ENTER_WAIT_MS)) return true
  if (lagMs > (neededHelp ? SATURATION_EXIT_LAG_MS : SATURATION_ENTER_LAG_MS)) return true
  return lagMs > (neededHelp ? OVERLOAD_EXIT_LAG_MS : OVERLOAD_ENTER_LAG_MS) && returnedShare > (neededHelp ? EXIT_RETURNED_SHARE : ENTER_RETURNED_SHARE)
}

/**
 * Time that a job saves by leaving the origin entry: the wait, another pass of the
 * event loop each way if any of its starts is returned, and the lag beyond
 * saturation.
 */
const savedMs = ({ lagMs, waitMs, returnedShare }: OriginView, count: number): number =>
  waitMs + 2 * lagMs * (1 - (1 - returnedShare) ** count) + Math.max(0, lagMs - SATURATION_ENTER_LAG_MS)

/** Time that a job loses at the neighbour: its wait, its event loop for offer and end, and the trips. */
const addedMs = ({ lagMs, waitMs, zone }: NeighbourView, ownZone: string): number =>
  2 * lagMs + waitMs + (zone === ownZone ? SAME_ZONE_COST_MS : CROSS_ZONE_COST_MS)

/** A job that may be handed on. */
export interface HandOnJob {
  /** Number of its tasks. */
  readonly count: number
  /** Need of all its tasks together, in thousandths of a core. */
  readonly needMilli: number
}

const isUsable = ({ isOpen, isStopping, receivedAt }: NeighbourView, now: number): boolean =>
  isOpen && !isStopping && now - receivedAt <= MAX_REPORT_AGE_MS

/**
 * Hands a job on if the entry is overloaded, to the neighbour that saves most
 * time. The cost of crossing zones favours neighbours of the same zone.
 *
 * @param job - a job that has just arrived
 * @param view - the entry and its neighbours
 * @param limits - set by the operator
 */
export const handOn = <Neighbour extends NeighbourView>(
  { count, needMilli }: HandOnJob, view: HandOnView<Neighbour>, { maxOutstanding, maxShare }: HandOnLimits
): HandOnDecision<Neighbour> => {
  if (!view.isOverloaded) return { type: 'keep', reason: KEEP_REASONS.notOverloaded }
  if (view.outstanding >= maxOutstanding) return { type: 'keep', reason: KEEP_REASONS.outstanding }
  if (view.share >= maxShare) return { type: 'keep', reason: KEEP_REASONS.share }
  const usable = view.neighbours.filter((neighbour) => isUsable(neighbour, view.now))
  if (usable.length === 0) return { type: 'keep', reason: KEEP_REASONS.noReport }
  let best: { to: Neighbour, gainMs: number } | undefined
  for (const to of usable) {
    if (to.freeMilli - to.unreportedMilli < FREE_CAPACITY_FACTOR * needMilli || isOverloaded(to, false)) continue
    const gainMs = savedMs(view.own, count) - addedMs(to, view.zone)
    if (gainMs > (best?.gainMs ?? 0)) best = { to, gainMs }
  }
  return best === undefined ? { type: 'keep', reason: KEEP_REASONS.noGain } : { type: 'hand_on', ...best }
}

/** State of an entry to which another one hands a job. */
export interface HostView {
  readonly own: EntryLoadView
  readonly isStopping: boolean
  /** Jobs of other entries that it hosts. */
  readonly hosted: number
  /** Latest time at which the origin entry is known to have been alive, in ms on the clock of `now`. */
  readonly aliveAt: number
  /** In ms. */
  readonly now: number
}

/** Jobs of other entries that an entry hosts at a time. */
export const MAX_HOSTED = 128
/** If the origin entry was last known alive longer ago, its offer was delayed; little of the entry lease would remain for the job's starts. */
export const MAX_OFFER_AGE_MS = 150

/** Why an entry refuses to host another entry's job; part of the answer to the offer. */
export type HostRefusal = 'stopping' | 'short' | 'hosted' | 'stale'

/** Finds out why an entry must not host another entry's job; undefined if it may. Admission follows. */
export const findHostRefusal = ({ own, isStopping, hosted, aliveAt, now }: HostView): HostRefusal | undefined => {
  if (isStopping) return 'stopping'
  if (now - aliveAt > MAX_OFFER_AGE_MS) return 'stale'
  if (hosted >= MAX_HOSTED) return 'hosted'
  return isOverloaded(own, false) ? 'short' : undefined
}
