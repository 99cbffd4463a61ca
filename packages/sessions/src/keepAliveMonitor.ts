import { CHECK_INTERVAL_MS, PROBE_TIMEOUT_MS } from './constants.js'
import type { KeepAliveOptions, MonitoredSession, SessionWatch } from './types.js'
import { WatchedSession } from './watchedSession.js'

/** How long further connections are expected to go silent after one has, in ms. */
const ALERT_MS = 3000
/** Time without a received frame after which a session is probed while that is expected, in ms: the interval of a busy session's frames. */
const ALERT_SILENCE_MS = 150

/**
 * Sends keep-alive frames on the sessions of a process and reports those that are
 * silent: first as suspected, then as timed out. One timer serves all sessions: a timer
 * for each would cost a process with hundreds of sessions a wake-up for each.
 */
export class KeepAliveMonitor {
  private readonly watched = new Set<WatchedSession>()
  private timer: NodeJS.Timeout | undefined
  private checkedAt = 0
  private alertUntil = -Infinity

  /**
   * @param options - intervals and timeouts
   * @param now - monotonic clock, in ms
   */
  constructor (private readonly options: KeepAliveOptions, private readonly now: () => number = () => performance.now()) {}

  /** Watches a session until the returned watch is stopped. */
  watch (session: MonitoredSession): SessionWatch {
    const watched = new WatchedSession(session, this.now())
    this.watched.add(watched)
    this.timer ??= this.startChecks()
    return {
      onSent: () => { watched.sentAt = this.now() },
      onReceived: () => watched.onReceived(this.now()),
      isSuspected: () => watched.isSuspected,
      stop: () => this.stop(watched)
    }
  }

  /**
   * The connection of a session has gone silent. Others of this process may have, too, so
   * all are probed now, and again for a while whenever nothing arrives on them.
   */
  onSilent (): void {
    const now = this.now()
    this.alertUntil = now + ALERT_MS
    this.probe(now, [...this.watched])
  }

  private probe (now: number, sessions: WatchedSession[]): void {
    const probed = sessions.filter((watched) => watched.probe(now))
    if (probed.length > 0) setTimeout(() => this.check(), PROBE_TIMEOUT_MS)
  }

  private stop (watched: WatchedSession): void {
    this.watched.delete(watched)
    if (this.watched.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private startChecks (): NodeJS.Timeout {
    this.checkedAt = this.now()
    return setInterval(() => this.check(), CHECK_INTERVAL_MS)
  }

  private check (): void {
    const now = this.now()
    // After a pause of this process, frames that arrived meanwhile are read only after this check.
    const wasPaused = now - this.checkedAt >= 2 * CHECK_INTERVAL_MS
    this.checkedAt = now
    for (const watched of [...this.watched]) this.checkSession(watched, now, wasPaused)
    if (now < this.alertUntil && !wasPaused) this.probe(now, [...this.watched].filter(({ receivedAt }) => now - receivedAt >= ALERT_SILENCE_MS))
  }

  private checkSession (watched: WatchedSession, now: number, wasPaused: boolean): void {
    const { session, sentAt, receivedAt } = watched
    const isBusy = session.isBusy()
    const { keepAliveMs, suspectMs = Infinity, timeoutMs } = isBusy ? this.options.busy : this.options.idle
    const silence = { silentMs: now - receivedAt, isBusy }
    if (silence.silentMs > timeoutMs) return session.onTimeout(silence)
    // Many connections more are a burden to an entry under load, unless connections are known to go silent.
    const mayBeLate = wasPaused || (session.isPeerLoaded?.() === true && now >= this.alertUntil)
    if (watched.isSuspicious(now, suspectMs) && !mayBeLate) watched.suspect(now, silence)
    if (now - sentAt >= keepAliveMs - CHECK_INTERVAL_MS / 2) session.sendKeepAlive()
  }
}
