import type { Clock, Suspension, SuspensionWatch } from '@hazellift/common'

/** What authorities need. */
export interface EntryLeasesOptions {
  /** The one that stamps the agent's frames. */
  clock: Pick<Clock, 'now' | 'after'>
  watch: SuspensionWatch
  /** How long a stamp lasts. */
  entryLeaseMs: number
  /** How long what runs may go on while it is in doubt whether authority is over. */
  verificationMs: number
  /** True while a session with this entry is open. */
  isOpen: (incarnation: string) => boolean
  /** Some entries' authority is in doubt until they echo a stamp made from now on. */
  onUnverified: () => void
  /** Stops whatever runs without authority. */
  onExpired: () => void
}

/** No authority, where there was some. */
const EXPIRED = 0

/**
 * Until when an agent may run tasks of each entry, by the agent's own clock.
 *
 * Invariant: authority ends `authorityMs` after a stamp of this agent that the
 * entry has echoed, however late the echo arrives; and what ran under authority
 * that has ended is stopped before new authority begins.
 *
 * The steady clock does not count time during which the process is suspended. After
 * what may have been such a time all authority is in doubt, and stamps made before
 * it count for nothing. An echo of a later stamp on the same session settles the
 * doubt: an entry ends its sessions where it may have been suspended itself, or has
 * not heard of the agent for so long that it counts what runs there as over.
 */
export class EntryLeases {
  private readonly expiryOf = new Map<string, number>()
  /** Entries whose authority is in doubt, with the end of that. */
  private readonly unverifiedUntil = new Map<string, number>()
  /** Stamps made until then may be older than they look. */
  private echoesIgnoredUntil = -Infinity

  constructor (private readonly options: EntryLeasesOptions) {
    options.watch.onSuspended((suspension) => this.onSuspended(suspension))
  }

  /** Notices what the steady clock has not counted; to be called before whatever rests on authority. */
  check (): void {
    this.options.watch.look()
  }

  /** True while tasks of this entry may be started. */
  isValid (incarnation: string): boolean {
    return !this.unverifiedUntil.has(incarnation) && this.isBeforeExpiry(incarnation)
  }

  /** True while tasks of this entry may go on, and must not be held on. */
  isUnverified (incarnation: string): boolean {
    const until = this.unverifiedUntil.get(incarnation)
    return until !== undefined && this.options.clock.now() <= until && this.isBeforeExpiry(incarnation)
  }

  /**
   * The entry has echoed a stamp.
   *
   * @param echoStampMs - 0 before the entry has read any
   */
  renew (incarnation: string, echoStampMs: number): void {
    this.check()
    if (echoStampMs === 0 || echoStampMs <= this.echoesIgnoredUntil) return
    const until = echoStampMs + this.options.entryLeaseMs
    const before = this.expiryOf.get(incarnation)
    if (before !== undefined && !this.isValid(incarnation)) this.resolve(incarnation)
    if (until <= (before ?? 0)) return
    this.expiryOf.set(incarnation, until)
    if (before === undefined) this.scheduleExpiry(incarnation)
  }

  /** A session with the entry has ended or begun: no doubt from before can be settled on it. */
  onSessionChange (incarnation: string): void {
    this.check()
    if (!this.unverifiedUntil.has(incarnation)) return
    this.expire(incarnation)
    this.options.onExpired()
  }

  private isBeforeExpiry (incarnation: string): boolean {
    return this.options.clock.now() <= (this.expiryOf.get(incarnation) ?? -Infinity)
  }

  /** Authority that was merely in doubt goes on; what ran under authority that is over is stopped. */
  private resolve (incarnation: string): void {
    if (!this.isUnverified(incarnation)) this.expiryOf.set(incarnation, EXPIRED)
    this.unverifiedUntil.delete(incarnation)
    this.options.onExpired()
  }

  private expire (incarnation: string): void {
    this.unverifiedUntil.delete(incarnation)
    this.expiryOf.set(incarnation, EXPIRED)
  }

  private onSuspended ({ isCertain }: Suspension): void {
    const { clock, verificationMs: doubtMs, isOpen, onUnverified: onDoubt, onExpired: onLapse } = this.options
    this.echoesIgnoredUntil = clock.now()
    const until = clock.now() + doubtMs
    for (const incarnation of this.expiryOf.keys()) {
      if (isCertain || !isOpen(incarnation)) this.expire(incarnation)
      // An earlier doubt ends when it would have ended.
      else if (!this.unverifiedUntil.has(incarnation)) this.unverifiedUntil.set(incarnation, until)
    }
    if (this.unverifiedUntil.size > 0) clock.after(doubtMs + 1, () => this.expireUnverified())
    onLapse()
    onDoubt()
  }

  private expireUnverified (): void {
    const now = this.options.clock.now()
    const ended = [...this.unverifiedUntil].filter(([, until]) => until < now)
    for (const [incarnation] of ended) this.expire(incarnation)
    if (ended.length > 0) this.options.onExpired()
  }

  /** Looks again when the authority known now ends. */
  private scheduleExpiry (incarnation: string): void {
    const { clock, onExpired: onLapse } = this.options
    const until = this.expiryOf.get(incarnation)
    if (until === undefined) return
    clock.after(Math.max(1, until + 1 - clock.now()), () => {
      if (this.isBeforeExpiry(incarnation)) return this.scheduleExpiry(incarnation)
      this.expiryOf.delete(incarnation)
      this.unverifiedUntil.delete(incarnation)
      onLapse()
    })
  }
}
