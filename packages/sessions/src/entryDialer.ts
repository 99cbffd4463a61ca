import { createBackoff, createLogger } from '@hazellift/common'
import type { Clock, Random } from '@hazellift/common'
import { chooseSubset } from '@hazellift/decisions'
import type { EntryLocation, SubsetLimits } from '@hazellift/decisions'
import { KnownEntries } from './knownEntries.js'

/** How the dialer steers one session, and hears of it. */
export interface DialHandle {
  /** Ends the session at once. */
  signal: AbortSignal
  /** Ends the session once nothing of the entry is in the agent's hands. */
  retired: AbortSignal
  /** The entry has said welcome. */
  onOpen: () => void
  /** The entry told of those that it knows. */
  onEntries: (entries: EntryLocation[]) => void
}

/** What the dialer needs. */
export interface EntryDialerOptions {
  clock: Clock
  random: Random
  /** The agent's availability zone. */
  zone: string
  /** Score of an entry for this agent; the highest are preferred. */
  score: (address: string) => number
  /** How many entries the agent holds sessions with. */
  limits: SubsetLimits
  /** Addresses to begin with, before any entry is known. */
  seeds: string[]
  /** Pause before each seed; once an entry is known, no further seed is dialled. */
  seedIntervalMs: number
  /** Holds one session until it ends. */
  dial: (address: string, handle: DialHandle) => Promise<void>
}

const BACKOFF = { baseMs: 50, maxMs: 2000 }
/** A session that lasted this long counts as a success, so that the next dial is quick again. */
const STABLE_MS = 2000
/** Dials that fail one after the other before an entry that nobody lists is given up. */
const MAX_UNLISTED_FAILURES = 8
/** A process that was killed is back sooner; one that is gone for longer is replaced by another entry. */
const UNREACHABLE_AFTER_MS = 1000
/** So long an entry that was given up counts as lost, so that another one is tried. */
const UNREACHABLE_MEMORY_MS = 10_000
/** So long a session is kept that is no longer wanted: lists and losses come and go. */
const RETIRE_DELAY_MS = 3000

/** Sessions with one entry, one after the other. */
interface DialState {
  readonly stopped: AbortController
  readonly retired: AbortController
  isOpen: boolean
  /** When the last session ended, or when dialling began. */
  closedAt: number
  /** Since when it is not wanted. */
  notChosenSince: number | undefined
}

/** Stands for a source that is no entry. */
const LOOKUP_SOURCE = ''

const log = createLogger('agent:dialer')

/**
 * Holds sessions with a part of the live entries: the seeds at first, then those
 * that `choosePart` chooses of all that any entry lists.
 */
export class EntryDialer {
  private readonly dials = new Map<string, DialState>()
  /** When entries were given up that could not be reached. */
  private readonly unreachableAt = new Map<string, number>()
  private readonly known = new KnownEntries()
  private readonly seeds: Set<string>
  private isStopped = false

  constructor (private readonly options: EntryDialerOptions) {
    this.seeds = new Set(options.seeds)
  }

  /** Dials the seeds, in the order in which this agent prefers them. */
  start (): void {
    const { score, seedIntervalMs: seedPaceMs, clock } = this.options
    const ranked = [...this.seeds].sort((a, b) => score(b) - score(a))
    for (const [index, address] of ranked.entries()) {
      if (seedPaceMs === 0) this.startDialing(address)
      else clock.after((index + 1) * seedPaceMs, () => { if (this.known.isEmpty) this.startDialing(address) })
    }
  }

  /** Sessions that stand now. */
  get openSessionCount (): number {
    let open = 0
    for (const { isOpen } of this.dials.values()) if (isOpen) open++
    return open
  }

  /** Further addresses to begin with. */
  addSeeds (addresses: string[]): void {
    for (const address of addresses) this.seeds.add(address)
    if (this.openSessionCount === 0) this.dialSeeds()
  }

  /** Dials the seeds once more, where no session stands. */
  dialSeeds (): void {
    for (const address of this.seeds) this.startDialing(address)
  }

  /** Entries were looked up elsewhere; counts until an entry tells of those that it knows. */
  onLookedUp (entries: EntryLocation[]): void {
    this.known.set(LOOKUP_SOURCE, entries)
    this.update()
  }

  private onEntries (address: string, entries: EntryLocation[]): void {
    this.known.set(address, entries)
    this.known.forget(LOOKUP_SOURCE)
    this.update()
  }

  /** Ends all sessions. */
  stop (): void {
    this.isStopped = true
    for (const { stopped } of this.dials.values()) stopped.abort()
  }

  /** Begins what is wanted, and ends what has not been for a while. */
  private update (): void {
    if (this.isStopped || this.known.isEmpty) return
    const { zone, score, limits, clock } = this.options
    const known = this.known.all
    const listed = new Set(known.map(({ address }) => address))
    const wanted = chooseSubset(known, { zone, score, isUnreachable: (address) => this.isUnreachable(address) }, limits)
    for (const address of wanted) this.startDialing(address)
    for (const [address, dial] of this.dials) {
      // An entry that nobody lists is about to stop, or a seed: it ends its session itself, once its jobs are over.
      if (wanted.has(address) || !listed.has(address)) dial.notChosenSince = undefined
      else if (!dial.isOpen) dial.retired.abort()
      else if (dial.notChosenSince === undefined) this.scheduleRetirement(dial, clock.now())
    }
  }

  private scheduleRetirement (dial: DialState, now: number): void {
    dial.notChosenSince = now
    this.options.clock.after(RETIRE_DELAY_MS, () => { if (dial.notChosenSince === now) dial.retired.abort() })
  }

  private startDialing (address: string): void {
    if (this.dials.has(address) || this.isStopped) return
    const dial = { stopped: new AbortController(), retired: new AbortController(), isOpen: false, closedAt: this.options.clock.now(), unwantedSince: undefined }
    this.dials.set(address, dial)
    void this.keepDialing(address, dial)
  }

  private async keepDialing (address: string, dial: DialState): Promise<void> {
    const { clock, random } = this.options
    const backoff = createBackoff(BACKOFF, random)
    let failures = 0
    while (!this.hasEnded(address, dial, failures)) {
      const startedAt = clock.now()
      await this.dialOnce(address, dial)
      failures = clock.now() - startedAt > STABLE_MS ? 1 : failures + 1
      this.update()
      if (!dial.retired.signal.aborted) await clock.sleep(backoff(failures))
    }
    this.dials.delete(address)
    this.known.forget(address)
    if (clock.now() - dial.closedAt >= UNREACHABLE_AFTER_MS) this.unreachableAt.set(address, clock.now())
    log('entry_dropped', { address, retired: dial.retired.signal.aborted })
    this.update()
  }

  private async dialOnce (address: string, dial: DialState): Promise<void> {
    const { clock } = this.options
    await this.options.dial(address, {
      signal: dial.stopped.signal,
      retired: dial.retired.signal,
      onOpen: () => {
        dial.isOpen = true
        this.unreachableAt.delete(address)
        this.update()
      },
      onEntries: (entries) => this.onEntries(address, entries)
    })
    if (dial.isOpen) dial.closedAt = clock.now()
    dial.isOpen = false
  }

  private hasEnded (address: string, { retired }: DialState, failures: number): boolean {
    if (this.isStopped || retired.signal.aborted) return true
    return failures >= MAX_UNLISTED_FAILURES && !this.seeds.has(address) && !this.known.all.some((entry) => entry.address === address)
  }

  /** True for an entry that could not be reached for a while. */
  private isUnreachable (address: string): boolean {
    const now = this.options.clock.now()
    const dial = this.dials.get(address)
    if (dial !== undefined) return !dial.isOpen && now - dial.closedAt >= UNREACHABLE_AFTER_MS
    return now - (this.unreachableAt.get(address) ?? -Infinity) < UNREACHABLE_MEMORY_MS
  }
}
