import type { Clock } from '@hazellift/common'

/**
 * Until when an agent may run tasks of each entry, by the agent's own clock.
 *
 * Invariant: authority ends `authorityMs` after a stamp of this agent that the
 * entry has echoed, however late the echo arrives; and what ran under authority
 * that has ended is stopped before new authority begins.
 */
export class Authorities {
  private readonly untilOf = new Map<string, number>()

  /**
   * @param clock - the one that stamps the agent's frames
   * @param authorityMs - how long a stamp lasts
   * @param onLapse - stops whatever runs without authority
   */
  constructor (
    private readonly clock: Pick<Clock, 'now' | 'after'>,
    private readonly authorityMs: number,
    private readonly onLapse: () => void
  ) {}

  /** True while tasks of this entry may run. */
  has (incarnation: string): boolean {
    return this.clock.now() <= (this.untilOf.get(incarnation) ?? -Infinity)
  }

  /**
   * The entry has echoed a stamp.
   *
   * @param echoStampMs - 0 before the entry has read any
   */
  renew (incarnation: string, echoStampMs: number): void {
    if (echoStampMs === 0) return
    const until = echoStampMs + this.authorityMs
    const before = this.untilOf.get(incarnation)
    if (before !== undefined && !this.has(incarnation)) this.onLapse()
    if (until <= (before ?? 0)) return
    this.untilOf.set(incarnation, until)
    if (before === undefined) this.scheduleEnd(incarnation)
  }

  /** Looks again when the authority known now ends. */
  private scheduleEnd (incarnation: string): void {
    const until = this.untilOf.get(incarnation)
    if (until === undefined) return
    this.clock.after(Math.max(1, until + 1 - this.clock.now()), () => {
      if (this.has(incarnation)) return this.scheduleEnd(incarnation)
      this.untilOf.delete(incarnation)
      this.onLapse()
    })
  }
}
