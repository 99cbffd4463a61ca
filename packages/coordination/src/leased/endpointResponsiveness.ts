import type { Clock } from '@hazellift/common'

/** Runs that end at about the same time are looked at together. */
const ANSWERED_PAUSE_MS = 4
/** Pause after a hold that failed at once, as the endpoint refuses connections. */
const FAILED_PAUSE_MS = 10
/**
 * After so many holds in a row without an answer, for so long, the endpoint is
 * silent. With half of all calls lost that happens once in 500 times.
 */
const MIN_UNANSWERED_POLLS = 9
const MIN_UNANSWERED_MS = 250
/**
 * Pause between looks at a silent endpoint: each costs a connection. While
 * orders there are not settled, which may still be carried out, it must be
 * noticed soon that the endpoint answers again.
 */
const UNRESPONSIVE_PAUSE = { baseMs: 60, maxMs: 480, maxUnresolvedMs: 100 }
/** How long calls count as likely to be lost after one was. */
const LOSS_MEMORY_MS = 3000
/**
 * How long a hold may wait for an end meanwhile: an end whose hold was lost is
 * told by the next one. Shorter waits cost connections, one for each lost hold:
 * with 8% of the calls lost for 12 s, 990 at 25 ms and 1290 at 10 ms, and as
 * many answers in time (0.994 and 0.995 of the value).
 */
const LOSSY_POLL_WAIT_MS = 25

/**
 * Whether the endpoint answers. Decides how long a hold may wait for an end,
 * how soon the next one follows, and when nothing is held any more.
 */
export class EndpointResponsiveness {
  private unansweredPolls = 0
  private unansweredSince = 0
  private lastLossAt = -Infinity
  private unresponsive = false
  private refusingConnections = false
  private readonly waiters = new Set<() => void>()

  /**
   * @param clock - the agent's
   * @param waitMs - how long a hold may wait for an end while all calls are answered
   */
  constructor (private readonly clock: Pick<Clock, 'now'>, private readonly waitMs: number) {}

  /** True once the endpoint has left so many holds unanswered that nothing is held on. */
  get isUnresponsive (): boolean {
    return this.unresponsive
  }

  /** True if nothing takes connections at its address: its process has ended. */
  get isRefusingConnections (): boolean {
    return this.refusingConnections
  }

  /** How long the next hold may wait for an end. */
  get pollWaitMs (): number {
    if (this.unresponsive) return 0
    return this.clock.now() - this.lastLossAt < LOSS_MEMORY_MS ? Math.min(LOSSY_POLL_WAIT_MS, this.waitMs) : this.waitMs
  }

  /** Pause before the next hold. */
  get pauseMs (): number {
    if (this.unansweredPolls === 0) return ANSWERED_PAUSE_MS
    if (!this.unresponsive) return FAILED_PAUSE_MS
    const maxMs = this.waiters.size > 0 ? UNRESPONSIVE_PAUSE.maxUnresolvedMs : UNRESPONSIVE_PAUSE.maxMs
    return Math.min(maxMs, UNRESPONSIVE_PAUSE.baseMs * 2 ** Math.max(0, this.unansweredPolls - MIN_UNANSWERED_POLLS - 1))
  }

  /** A hold was answered. */
  onPollAnswered (): void {
    this.unansweredPolls = 0
    this.unresponsive = false
    this.refusingConnections = false
    this.releaseWaiters()
  }

  /** Resolves at once, or when a silent endpoint has answered again; what must be repeated until then costs nothing. */
  untilResponsive (): Promise<void> {
    return this.unresponsive ? new Promise((resolve) => { this.waiters.add(resolve) }) : Promise.resolve()
  }

  /** Nothing is waited for any more. */
  releaseWaiters (): void {
    for (const resolve of this.waiters) resolve()
    this.waiters.clear()
  }

  /** A call other than a hold was not answered. */
  onCallLost (): void {
    this.lastLossAt = this.clock.now()
  }

  /**
   * A hold was not answered.
   *
   * @param sentAt - when it was sent
   * @param isRefused - nothing takes connections there
   * @returns true if the endpoint counts as silent from now on
   */
  onPollUnanswered (sentAt: number, isRefused: boolean): boolean {
    this.onCallLost()
    this.refusingConnections = isRefused
    if (this.unansweredPolls++ === 0) this.unansweredSince = sentAt
    if (this.unresponsive) return false
    this.unresponsive = this.unansweredPolls >= MIN_UNANSWERED_POLLS && this.clock.now() - this.unansweredSince >= MIN_UNANSWERED_MS
    return this.unresponsive
  }
}
