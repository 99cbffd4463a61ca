import type { Clock } from '@hazellift/common'

/** Pause after an answered poll, so that the next one lists runs together that end at about the same time. */
const ANSWERED_PAUSE_MS = 4
/** Pause after a failed poll; polls fail at once while the endpoint refuses connections. */
const FAILED_PAUSE_MS = 10
/**
 * The endpoint is unresponsive after this many unanswered polls in a row that
 * also span this time. With half of all calls lost, that happens by chance once
 * in 500 times.
 */
const MIN_UNANSWERED_POLLS = 9
const MIN_UNANSWERED_MS = 250
/**
 * Exponential pause between polls of an unresponsive endpoint, as each costs a
 * connection. The maximum is lower while orders are unresolved: they may still
 * be carried out, so it must be noticed soon that the endpoint answers again.
 */
const UNRESPONSIVE_PAUSE = { baseMs: 60, maxMs: 480, maxUnresolvedMs: 100 }
/** How long further losses are expected after a lost call. */
const LOSS_MEMORY_MS = 3000
/**
 * Longest wait of a poll for an end while losses are expected: the end in a lost
 * answer is listed again only by the next poll. A shorter wait costs more
 * connections, one for each lost poll, and gains nothing: with 8% of calls lost
 * for 12 s, 990 connections at 25 ms and 1290 at 10 ms, and answers earn about as
 * much of their value (0.994 and 0.995).
 */
const LOSSY_POLL_WAIT_MS = 25

/**
 * Tracks whether the endpoint answers calls. Decides how long a poll may wait
 * for an end, when the next one follows, and when polls stop renewing the run lease.
 */
export class EndpointResponsiveness {
  private unansweredPolls = 0
  private unansweredSince = 0
  private lastLossAt = -Infinity
  private unresponsive = false
  private refusingConnections = false
  private readonly waiters = new Set<() => void>()

  /**
   * @param clock - the agent's clock
   * @param waitMs - how long a poll may wait for an end while no calls are lost, in ms
   */
  constructor (private readonly clock: Pick<Clock, 'now'>, private readonly waitMs: number) {}

  /** True once the endpoint has left so many polls unanswered that the run lease is not renewed any more. */
  get isUnresponsive (): boolean {
    return this.unresponsive
  }

  /** True if connections to the endpoint's address are refused: its process has ended. */
  get isRefusingConnections (): boolean {
    return this.refusingConnections
  }

  /** How long the next poll may wait for an end, in ms. */
  get pollWaitMs (): number {
    if (this.unresponsive) return 0
    return this.clock.now() - this.lastLossAt < LOSS_MEMORY_MS ? Math.min(LOSSY_POLL_WAIT_MS, this.waitMs) : this.waitMs
  }

  /** Pause before the next poll, in ms. */
  get pauseMs (): number {
    if (this.unansweredPolls === 0) return ANSWERED_PAUSE_MS
    if (!this.unresponsive) return FAILED_PAUSE_MS
    const maxMs = this.waiters.size > 0 ? UNRESPONSIVE_PAUSE.maxUnresolvedMs : UNRESPONSIVE_PAUSE.maxMs
    return Math.min(maxMs, UNRESPONSIVE_PAUSE.baseMs * 2 ** Math.max(0, this.unansweredPolls - MIN_UNANSWERED_POLLS - 1))
  }

  /** A poll was answered: the endpoint is responsive. */
  onPollAnswered (): void {
    this.unansweredPolls = 0
    this.unresponsive = false
    this.refusingConnections = false
    this.releaseWaiters()
  }

  /** Resolves at once, or when an unresponsive endpoint answers a poll again, so that no call is repeated in vain. */
  untilResponsive (): Promise<void> {
    return this.unresponsive ? new Promise((resolve) => { this.waiters.add(resolve) }) : Promise.resolve()
  }

  /** Resolves all promises of `untilResponsive`; called also when the endpoint's incarnation ends. */
  releaseWaiters (): void {
    for (const resolve of this.waiters) resolve()
    this.waiters.clear()
  }

  /** A call was not answered; unanswered polls of the regular sequence are reported by `onPollUnanswered`. */
  onCallLost (): void {
    this.lastLossAt = this.clock.now()
  }

  /**
   * A poll of the regular sequence was not answered.
   *
   * @param sentAt - when it was sent, on the agent's clock
   * @param isRefused - connections to the endpoint's address are refused
   * @returns true if the endpoint has become unresponsive
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
