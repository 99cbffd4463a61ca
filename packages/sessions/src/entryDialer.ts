import { createBackoff, createLogger } from '@hazellift/common'
import type { Clock, Random } from '@hazellift/common'
import { chooseSubset } from '@hazellift/decisions'
import type { EntryLocation, SubsetLimits } from '@hazellift/decisions'
import { keepSession } from './keepSession.js'
import { KnownEntries } from './knownEntries.js'

/** Ends one session for the dialer, and notifies the dialer of its events. */
export interface DialHandle {
  /** Ends the session at once. */
  signal: AbortSignal
  /** Ends the session once the agent has no task of the entry any more. */
  retired: AbortSignal
  /**
   * Asked when the entry's welcome was received: false if the session that this one
   * would replace has shown life, so that the agent does not introduce itself on this one.
   */
  isNeeded: () => boolean
  /** The session is open. */
  onOpen: () => void
  /**
   * The session's connection is suspected to be silent.
   *
   * @param isSilent - true until a frame arrives on the session, also once it has ended
   */
  onSuspected: (isSilent: () => boolean) => void
  /** The entry sent the list of entries that it knows. */
  onEntries: (entries: EntryLocation[]) => void
}

/** Dependencies and settings of the dialer. */
export interface EntryDialerOptions {
  clock: Clock
  random: Random
  /** The agent's availability zone. */
  zone: string
  /** Rendezvous score of an entry for this agent; the highest are chosen. */
  score: (address: string) => number
  /** How many entries the agent keeps sessions with. */
  limits: SubsetLimits
  /** Addresses to dial before any entry is known. */
  seeds: string[]
  /** Delay before each seed, in ms; once an entry is known, no further seed is dialled. With 0 all seeds are dialled at once. */
  seedIntervalMs: number
  /** Runs one session; resolves when it has ended. */
  dial: (address: string, handle: DialHandle) => Promise<void>
  /** Called when a connection has proved to be silent, as another one to the same entry works. */
  onSilent?: () => void
}

const BACKOFF = { baseMs: 50, maxMs: 2000 }
/** A session that lasted longer than this resets the backoff, so that the next dial follows soon. In ms. */
const STABLE_MS = 2000
/** Consecutive failed dials after which an entry that no source lists is dropped. */
const MAX_UNLISTED_FAILURES = 8
/** Time without a session after which an entry counts as unreachable and another one takes its place, in ms. A killed process restarts sooner. */
const UNREACHABLE_AFTER_MS = 1000
/** How long a dropped entry still counts as unreachable, so that another one is tried, in ms. */
const UNREACHABLE_MEMORY_MS = 10_000
/** How long a session is kept after its entry is no longer chosen, in ms: lists and unreachable entries may change back soon. */
const RETIRE_DELAY_MS = 3000

/** State of the successive sessions with one entry. */
interface DialState {
  readonly stopped: AbortController
  readonly retired: AbortController
  /** More than one while a silent session is being replaced. */
  openSessions: number
  /** When the last session ended, or dialling began if there was none. */
  closedAt: number
  /** Since when the entry is not chosen; unset while it is. */
  notChosenSince: number | undefined
}

/** Source of entries that were looked up elsewhere; no entry has this address. */
const LOOKUP_SOURCE = ''

const log = createLogger('agent:dialer')

/**
 * Keeps sessions with a subset of the live entries: the seeds at first, then those
 * that `chooseSubset` chooses of all entries that any source lists.
 */
export class EntryDialer {
  private readonly dials = new Map<string, DialState>()
  /** When entries were dropped that could not be reached, by address. */
  private readonly unreachableAt = new Map<string, number>()
  private readonly known = new KnownEntries()
  private readonly seeds: Set<string>
  private isStopped = false

  constructor (private readonly options: EntryDialerOptions) {
    this.seeds = new Set(options.seeds)
  }

  /** Dials the seeds, those with the highest score first. */
  start (): void {
    const { score, seedIntervalMs, clock } = this.options
    const ranked = [...this.seeds].sort((a, b) => score(b) - score(a))
    for (const [index, address] of ranked.entries()) {
      if (seedIntervalMs === 0) this.startDialing(address)
      else clock.after((index + 1) * seedIntervalMs, () => { if (this.known.isEmpty) this.startDialing(address) })
    }
  }

  /** Number of open sessions. */
  get openSessionCount (): number {
    let count = 0
    for (const { openSessions } of this.dials.values()) if (openSessions > 0) count++
    return count
  }

  /** Adds seeds, and dials them if no session is open. */
  addSeeds (addresses: string[]): void {
    for (const address of addresses) this.seeds.add(address)
    if (this.openSessionCount === 0) this.dialSeeds()
  }

  /** Dials all seeds that are not being dialled already. */
  dialSeeds (): void {
    for (const address of this.seeds) this.startDialing(address)
  }

  /** Adopts entries that were looked up elsewhere; they are used until an entry sends its own list. */
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

  /** Dials the chosen entries, and retires sessions with entries that have not been chosen for a while. */
  private update (): void {
    if (this.isStopped || this.known.isEmpty) return
    const { zone, score, limits, clock } = this.options
    const known = this.known.all
    const listed = new Set(known.map(({ address }) => address))
    const chosen = chooseSubset(known, { zone, score, isUnreachable: (address) => this.isUnreachable(address) }, limits)
    for (const address of chosen) this.startDialing(address)
    for (const [address, dial] of this.dials) {
      // An entry that no source lists is a seed, or is stopping and ends the session itself once its jobs are done.
      if (chosen.has(address) || !listed.has(address)) dial.notChosenSince = undefined
      else if (dial.openSessions === 0) dial.retired.abort()
      else if (dial.notChosenSince === undefined) this.scheduleRetirement(dial, clock.now())
    }
  }

  private scheduleRetirement (dial: DialState, now: number): void {
    dial.notChosenSince = now
    this.options.clock.after(RETIRE_DELAY_MS, () => { if (dial.notChosenSince === now) dial.retired.abort() })
  }

  private startDialing (address: string): void {
    if (this.dials.has(address) || this.isStopped) return
    const dial = { stopped: new AbortController(), retired: new AbortController(), openSessions: 0, closedAt: this.options.clock.now(), notChosenSince: undefined }
    this.dials.set(address, dial)
    void this.keepDialing(address, dial)
  }

  private async keepDialing (address: string, dial: DialState): Promise<void> {
    const { clock, random } = this.options
    const backoff = createBackoff(BACKOFF, random)
    let failures = 0
    while (!this.shouldStop(address, dial, failures)) {
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
    await keepSession((handle) => this.options.dial(address, handle), {
      signal: dial.stopped.signal,
      retired: dial.retired.signal,
      onOpen: () => {
        dial.openSessions++
        this.unreachableAt.delete(address)
        this.update()
      },
      onClosed: () => {
        dial.openSessions--
        dial.closedAt = clock.now()
      },
      onReplaced: () => this.options.onSilent?.(),
      onEntries: (entries) => this.onEntries(address, entries)
    })
  }

  private shouldStop (address: string, { retired }: DialState, failures: number): boolean {
    if (this.isStopped || retired.signal.aborted) return true
    return failures >= MAX_UNLISTED_FAILURES && !this.seeds.has(address) && !this.known.all.some((entry) => entry.address === address)
  }

  /** True for an entry that could not be reached for a while, or that was dropped lately for that reason. */
  private isUnreachable (address: string): boolean {
    const now = this.options.clock.now()
    const dial = this.dials.get(address)
    if (dial !== undefined) return dial.openSessions === 0 && now - dial.closedAt >= UNREACHABLE_AFTER_MS
    return now - (this.unreachableAt.get(address) ?? -Infinity) < UNREACHABLE_MEMORY_MS
  }
}
