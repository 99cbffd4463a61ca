import type { Clock, Suspension, SuspensionWatch } from '@hazellift/common'

/** What the entry leases of an agent need. */
export interface EntryLeasesOptions {
  /** The clock that the agent's frames are timestamped with. */
  clock: Pick<Clock, 'now' | 'after'>
  watch: SuspensionWatch
  /** Length of a lease, in ms from the echoed timestamp. */
  entryLeaseMs: number
  /** How long runs may continue under an unverified lease, in ms. */
  verificationMs: number
  /** True while a session with this incarnation of an entry is open. */
  isOpen: (incarnation: string) => boolean
  /** Some leases are unverified until their entries echo a timestamp taken from now on. */
  onUnverified: () => void
  /** Leases may have expired: stops all runs without one. */
  onExpired: () => void
}

/** Expiry of a lease that has ended while the entry is still known. */
const EXPIRED = 0

/**
 * The entry leases of an agent: until when it may run the tasks of each entry,
 * by the agent's own clock.
 *
 * Invariant: a lease expires `entryLeaseMs` after a timestamp of this agent that
 * the entry has echoed, however late the echo arrives. Runs under an expired
 * lease are stopped before a new lease of the same entry begins.
 *
 * The steady clock does not count time during which the process is suspended.
 * After a possible suspension all leases are unverified, and echoes of earlier
 * timestamps are ignored. An echo of a later timestamp on the same session
 * verifies the lease: an entry ends its sessions if it may have been suspended
 * itself, or if it has not heard from the agent for so long that it considers
 * the runs there terminated.
 */
export class EntryLeases {
  /** When the lease of each entry expires, by the entry's incarnation. */
  private readonly expiryOf = new Map<string, number>()
  /** Entries with an unverified lease, and when it expires if it is not verified. */
  private readonly unverifiedUntil = new Map<string, number>()
  /** Timestamps up to this one may be older than the steady clock shows. */
  private echoesIgnoredUntil = -Infinity

  constructor (private readonly options: EntryLeasesOptions) {
    options.watch.onSuspended((suspension) => this.onSuspended(suspension))
  }

  /** Detects a suspension since the last check; to be called before anything that relies on a lease. */
  check (): void {
    this.options.watch.check()
  }

  /** True while tasks of this entry may be started. */
  isValid (incarnation: string): boolean {
    return !this.unverifiedUntil.has(incarnation) && this.isBeforeExpiry(incarnation)
  }

  /** True while runs of this entry may continue but their run lease must not be renewed. */
  isUnverified (incarnation: string): boolean {
    const expiresAt = this.unverifiedUntil.get(incarnation)
    return expiresAt !== undefined && this.options.clock.now() <= expiresAt && this.isBeforeExpiry(incarnation)
  }

  /**
   * Renews or verifies a lease after the entry has echoed a timestamp.
   *
   * @param incarnation - the entry's incarnation
   * @param echoStampMs - the echoed timestamp; 0 before the entry has read any
   */
  renew (incarnation: string, echoStampMs: number): void {
    this.check()
    if (echoStampMs === 0 || echoStampMs <= this.echoesIgnoredUntil) return
    const expiresAt = echoStampMs + this.options.entryLeaseMs
    const before = this.expiryOf.get(incarnation)
    if (before !== undefined && !this.isValid(incarnation)) this.resolve(incarnation)
    if (expiresAt <= (before ?? 0)) return
    this.expiryOf.set(incarnation, expiresAt)
    if (before === undefined) this.scheduleExpiry(incarnation)
  }

  /** A session with the entry has begun or ended: an unverified lease can't be verified on another session, so it expires. */
  onSessionChange (incarnation: string): void {
    this.check()
    if (!this.unverifiedUntil.has(incarnation)) return
    this.expire(incarnation)
    this.options.onExpired()
  }

  private isBeforeExpiry (incarnation: string): boolean {
    return this.options.clock.now() <= (this.expiryOf.get(incarnation) ?? -Infinity)
  }

  /** Verifies a lease that was only unverified; stops the runs of one that has expired. */
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
    const { clock, verificationMs, isOpen, onUnverified, onExpired } = this.options
    this.echoesIgnoredUntil = clock.now()
    const expiresAt = clock.now() + verificationMs
    for (const incarnation of this.expiryOf.keys()) {
      if (isCertain || !isOpen(incarnation)) this.expire(incarnation)
      // A lease that is unverified already keeps its earlier time limit.
      else if (!this.unverifiedUntil.has(incarnation)) this.unverifiedUntil.set(incarnation, expiresAt)
    }
    if (this.unverifiedUntil.size > 0) clock.after(verificationMs + 1, () => this.expireUnverified())
    onExpired()
    onUnverified()
  }

  private expireUnverified (): void {
    const now = this.options.clock.now()
    const expired = [...this.unverifiedUntil].filter(([, expiresAt]) => expiresAt < now)
    for (const [incarnation] of expired) this.expire(incarnation)
    if (expired.length > 0) this.options.onExpired()
  }

  /** Checks the lease again when it expires as known now. */
  private scheduleExpiry (incarnation: string): void {
    const { clock, onExpired } = this.options
    const expiresAt = this.expiryOf.get(incarnation)
    if (expiresAt === undefined) return
    clock.after(Math.max(1, expiresAt + 1 - clock.now()), () => {
      if (this.isBeforeExpiry(incarnation)) return this.scheduleExpiry(incarnation)
      this.expiryOf.delete(incarnation)
      this.unverifiedUntil.delete(incarnation)
      onExpired()
    })
  }
}
